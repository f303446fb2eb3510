/**
 * A stand-in for one target of a service: a Node http server with fixed slots and a bounded queue.
 * It drains, starts with a cold cache, sheds requests that it cannot queue, honours deadlines and
 * cancellation, and reports load in every response and on an endpoint that is stale or, by fault, wrong.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { MemberClient } from '@cardamomladder/member-list';
import { sendJson, readJson } from '@cardamomladder/http-json';
import { logger } from '@cardamomladder/telemetry';
import type { LoadReply, NotRunReason, TargetFaults } from '../protocol';
import { DEADLINE_HEADER, LOAD_HEADER, NOT_RUN_HEADER, REQUEST_KEY_HEADER } from '../protocol';

const log = logger('standin:target');

export interface TargetStandinOptions {
  id: string;
  service: string;
  region: string;
  failureDomain: string;
  slots: number;
  /** Requests that may wait for a slot (default: `slots`); requests beyond `slots` + `queueLimit` are shed. */
  queueLimit?: number;
  /** Processing time of one request with a warm cache, in ms. */
  serviceMs: number;
  /** Size of each response body in bytes; large bodies are streamed in chunks, over `streamMs` as for a large download over a slow link. */
  answerBytes: number;
  streamMs?: number;
  /** Factor by which a cold cache increases the processing time; it decays to 1 with a time constant of `warmRequests` requests served. */
  coldFactor?: number;
  warmRequests?: number;
  /** Interval at which the load endpoint is updated, in ms. */
  lagMs?: number;
  host?: string;
  port?: number;
  /** Member list in which the target announces itself; omitted in unit tests. */
  members?: MemberClient;
}

/** Record of a request with an idempotency key whose processing started, for at-most-once checks. */
export interface Execution {
  key: string;
  at: number;
}

/** A running target stand-in; `drain` rejects new requests, waits for those in flight and resolves with the drain time in ms, and `stop` then also closes the listener. */
export interface TargetStandin {
  id: string;
  address: string;
  server: Server;
  executions: Execution[];
  faults: TargetFaults;
  stats: { served: number; shed: number; cancelled: number; refusedDraining: number };
  inflight: () => number;
  drain: () => Promise<number>;
  stop: () => Promise<number>;
}

const CHUNK_BYTES = 64 * 1024;

const sleep = (ms: number, signal: AbortSignal) =>
  new Promise<boolean>((resolve) => {
    if (signal.aborted) {
      resolve(false);
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    // A stream sleeps once per chunk on the same signal; Node reports a leak from the 11th listener on.
    timer = setTimeout(() => {
      signal.removeEventListener('abort', onAbort);
      resolve(true);
    }, ms);
    signal.addEventListener('abort', onAbort, { once: true });
  });

/** Starts a target stand-in and announces it as live. */
export const startTargetStandin = async (options: TargetStandinOptions): Promise<TargetStandin> => {
  const queueLimit = options.queueLimit ?? options.slots;
  const coldFactor = options.coldFactor ?? 3;
  const warmRequests = options.warmRequests ?? 200;
  const lagMs = options.lagMs ?? 1000;
  const executions: Execution[] = [];
  const faults: TargetFaults = {};
  const stats = { served: 0, shed: 0, cancelled: 0, refusedDraining: 0 };
  const slotQueue: (() => void)[] = [];
  let busySlots = 0;
  let openRequests = 0;
  let leaving = false;
  let resolveDrain: (() => void) | undefined;
  let publishedLoad: LoadReply = {
    inflight: 0,
    slots: options.slots,
    state: 'live',
    at: Date.now(),
  };
  const publishTimer = setInterval(() => {
    publishedLoad = {
      inflight: busySlots,
      slots: options.slots,
      state: leaving ? 'leaving' : 'live',
      at: Date.now(),
    };
  }, lagMs);
  publishTimer.unref();

  const resolveDrainIfIdle = () => {
    if (leaving && openRequests === 0 && resolveDrain) resolveDrain();
  };

  const rejectRequest = (res: ServerResponse, reason: NotRunReason) => {
    res.writeHead(503, {
      [NOT_RUN_HEADER]: reason,
      [LOAD_HEADER]: String(busySlots),
      'retry-after': '1',
    });
    res.end();
  };

  const acquireSlot = () =>
    new Promise<void>((resolve) => {
      if (busySlots < options.slots) {
        busySlots += 1;
        resolve();
        return;
      }
      slotQueue.push(() => {
        busySlots += 1;
        resolve();
      });
    });

  const releaseSlot = () => {
    busySlots -= 1;
    slotQueue.shift()?.();
  };

  const streamResponse = async (res: ServerResponse, signal: AbortSignal) => {
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': options.answerBytes,
      [LOAD_HEADER]: String(busySlots),
    });
    let remainingBytes = options.answerBytes;
    const chunk = Buffer.alloc(Math.min(CHUNK_BYTES, options.answerBytes), 0x61);
    const chunkDelayMs =
      (options.streamMs ?? 0) / Math.max(1, Math.ceil(options.answerBytes / chunk.length));
    while (remainingBytes > 0 && !signal.aborted) {
      const slice = remainingBytes >= chunk.length ? chunk : chunk.subarray(0, remainingBytes);
      remainingBytes -= slice.length;
      if (!res.write(slice)) await once(res, 'drain');
      if (chunkDelayMs > 0) await sleep(chunkDelayMs, signal);
    }
    res.end();
  };

  const serveRequest = async (req: IncomingMessage, res: ServerResponse) => {
    if (faults.silent) return;
    if (leaving) {
      stats.refusedDraining += 1;
      rejectRequest(res, 'draining');
      return;
    }
    if (busySlots + slotQueue.length >= options.slots + queueLimit) {
      stats.shed += 1;
      rejectRequest(res, 'shed');
      return;
    }
    const remainingMs = Number(req.headers[DEADLINE_HEADER] ?? 'NaN');
    if (remainingMs < 1) {
      rejectRequest(res, 'deadline');
      return;
    }
    const abortController = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) abortController.abort();
    });
    openRequests += 1;
    try {
      await acquireSlot();
      try {
        const key = req.headers[REQUEST_KEY_HEADER];
        if (typeof key === 'string') executions.push({ key, at: Date.now() });
        const coldMultiplier = 1 + (coldFactor - 1) * Math.exp(-stats.served / warmRequests);
        const finished = await sleep(options.serviceMs * coldMultiplier, abortController.signal);
        if (!finished) {
          stats.cancelled += 1;
          return;
        }
        stats.served += 1;
      } finally {
        releaseSlot();
      }
      if (faults.resetAfterWork) {
        res.socket?.destroy();
        return;
      }
      await streamResponse(res, abortController.signal);
    } finally {
      openRequests -= 1;
      resolveDrainIfIdle();
    }
  };

  const handle = (req: IncomingMessage, res: ServerResponse) => {
    const path = new URL(req.url ?? '/', 'http://target').pathname;
    if (path === '/load') {
      sendJson(
        res,
        200,
        faults.lie ? { ...publishedLoad, inflight: 0, state: 'live' } : publishedLoad,
      );
      return;
    }
    if (path === '/health') {
      sendJson(res, faults.lie || !leaving ? 200 : 503, {
        state: faults.lie ? 'live' : publishedLoad.state,
      });
      return;
    }
    if (path === '/admin/faults' && req.method === 'POST') {
      readJson(req)
        .then((body) => {
          Object.assign(faults, body as TargetFaults);
          sendJson(res, 200, faults);
        })
        .catch(() => sendJson(res, 400, { error: 'send a JSON object of faults' }));
      return;
    }
    // The whole body is read first, so a request rejected as "not run" has not been processed in part.
    req.resume();
    req.on('end', () => {
      serveRequest(req, res).catch((error: Error) => {
        log.error('work failed', { id: options.id, error: error.message });
        if (!res.headersSent) sendJson(res, 500, { error: error.message });
      });
    });
  };

  const server = createServer(handle);
  server.keepAliveTimeout = 30_000;
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, options.host ?? '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `${options.host ?? '127.0.0.1'}:${port}`;
  const member = {
    id: options.id,
    service: options.service,
    region: options.region,
    failureDomain: options.failureDomain,
    address,
    slots: options.slots,
  };
  await options.members?.announce({ ...member, state: 'live' });

  const drain = async () => {
    const started = Date.now();
    leaving = true;
    await options.members?.announce({ ...member, state: 'leaving' });
    if (openRequests > 0) {
      await new Promise<void>((resolve) => {
        resolveDrain = resolve;
      });
    }
    const ms = Date.now() - started;
    log.info('drained', { id: options.id, drainMs: ms });
    return ms;
  };

  const stop = async () => {
    const ms = await drain();
    clearInterval(publishTimer);
    await options.members?.remove(options.id);
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
    return ms;
  };

  return {
    id: options.id,
    address,
    server,
    executions,
    faults,
    stats,
    inflight: () => openRequests,
    drain,
    stop,
  };
};
