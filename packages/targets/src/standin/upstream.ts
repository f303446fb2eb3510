/**
 * A stand-in for one upstream of a service: a Node http server with a fixed
 * number of slots and a short queue. It behaves as the brief says targets
 * do: it drains, starts with cold caches, sheds load it cannot queue,
 * honours deadlines and cancellation, and reports its load on every answer
 * and on a load endpoint that lags (or lies, when told to).
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

/** How one upstream stand-in behaves. */
export interface UpstreamOptions {
  id: string;
  service: string;
  region: string;
  failureDomain: string;
  slots: number;
  /** Requests that may wait for a slot; beyond slots + queue, requests are shed. */
  queue?: number;
  /** Work time of one request when caches are warm, in ms. */
  serviceMs: number;
  /** Bytes in each answer; large answers stream in chunks. */
  answerBytes: number;
  /** Time the answer takes to stream, in ms, as a large download over a slow link does. */
  streamMs?: number;
  /** Work takes this many times longer on a cold cache. */
  coldFactor?: number;
  /** Requests served before the cache is mostly warm. */
  warmRequests?: number;
  /** How stale the load endpoint is, in ms. */
  lagMs?: number;
  host?: string;
  port?: number;
  /** Where to announce the upstream; omitted in unit tests. */
  members?: MemberClient;
}

/** A record that a non-idempotent request started work, for at-most-once checks. */
export interface Execution {
  key: string;
  at: number;
}

/** A running upstream stand-in. */
export interface Upstream {
  id: string;
  address: string;
  server: Server;
  executions: Execution[];
  faults: TargetFaults;
  stats: { served: number; shed: number; cancelled: number; refusedDraining: number };
  inflight: () => number;
  /** Stops taking new work, waits for work in flight, and resolves with the drain time in ms. */
  drain: () => Promise<number>;
  /** Drains, then closes the listener. */
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
    const stop = () => {
      clearTimeout(timer);
      resolve(false);
    };
    // A long answer sleeps once a chunk on one signal; a listener left behind
    // each time is a leak that Node warns of from the eleventh on.
    timer = setTimeout(() => {
      signal.removeEventListener('abort', stop);
      resolve(true);
    }, ms);
    signal.addEventListener('abort', stop, { once: true });
  });

/** Starts an upstream stand-in and announces it as live. */
export const startUpstream = async (options: UpstreamOptions): Promise<Upstream> => {
  const queueLimit = options.queue ?? options.slots;
  const coldFactor = options.coldFactor ?? 3;
  const warmRequests = options.warmRequests ?? 200;
  const lagMs = options.lagMs ?? 1000;
  const executions: Execution[] = [];
  const faults: TargetFaults = {};
  const stats = { served: 0, shed: 0, cancelled: 0, refusedDraining: 0 };
  const waiting: (() => void)[] = [];
  let busy = 0;
  let open = 0;
  let leaving = false;
  let drained: (() => void) | undefined;
  let lagged: LoadReply = { inflight: 0, slots: options.slots, state: 'live', at: Date.now() };
  const lagTimer = setInterval(() => {
    lagged = {
      inflight: busy,
      slots: options.slots,
      state: leaving ? 'leaving' : 'live',
      at: Date.now(),
    };
  }, lagMs);
  lagTimer.unref();

  const settle = () => {
    if (leaving && open === 0 && drained) drained();
  };

  const refuse = (res: ServerResponse, reason: NotRunReason) => {
    res.writeHead(503, {
      [NOT_RUN_HEADER]: reason,
      [LOAD_HEADER]: String(busy),
      'retry-after': '1',
    });
    res.end();
  };

  const acquire = () =>
    new Promise<void>((resolve) => {
      if (busy < options.slots) {
        busy += 1;
        resolve();
        return;
      }
      waiting.push(() => {
        busy += 1;
        resolve();
      });
    });

  const release = () => {
    busy -= 1;
    waiting.shift()?.();
  };

  const streamAnswer = async (res: ServerResponse, signal: AbortSignal) => {
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': options.answerBytes,
      [LOAD_HEADER]: String(busy),
    });
    let left = options.answerBytes;
    const chunk = Buffer.alloc(Math.min(CHUNK_BYTES, options.answerBytes), 0x61);
    const pause =
      (options.streamMs ?? 0) / Math.max(1, Math.ceil(options.answerBytes / chunk.length));
    while (left > 0 && !signal.aborted) {
      const part = left >= chunk.length ? chunk : chunk.subarray(0, left);
      left -= part.length;
      if (!res.write(part)) await once(res, 'drain');
      if (pause > 0) await sleep(pause, signal);
    }
    res.end();
  };

  const work = async (req: IncomingMessage, res: ServerResponse) => {
    if (faults.silent) return;
    if (leaving) {
      stats.refusedDraining += 1;
      refuse(res, 'draining');
      return;
    }
    if (busy + waiting.length >= options.slots + queueLimit) {
      stats.shed += 1;
      refuse(res, 'shed');
      return;
    }
    const budget = Number(req.headers[DEADLINE_HEADER] ?? 'NaN');
    if (budget < 1) {
      refuse(res, 'deadline');
      return;
    }
    const cancel = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) cancel.abort();
    });
    open += 1;
    try {
      await acquire();
      try {
        const key = req.headers[REQUEST_KEY_HEADER];
        if (typeof key === 'string') executions.push({ key, at: Date.now() });
        const cold = 1 + (coldFactor - 1) * Math.exp(-stats.served / warmRequests);
        const finished = await sleep(options.serviceMs * cold, cancel.signal);
        if (!finished) {
          stats.cancelled += 1;
          return;
        }
        stats.served += 1;
      } finally {
        release();
      }
      if (faults.resetAfterWork) {
        res.socket?.destroy();
        return;
      }
      await streamAnswer(res, cancel.signal);
    } finally {
      open -= 1;
      settle();
    }
  };

  const handle = (req: IncomingMessage, res: ServerResponse) => {
    const path = new URL(req.url ?? '/', 'http://target').pathname;
    if (path === '/load') {
      sendJson(res, 200, faults.lie ? { ...lagged, inflight: 0, state: 'live' } : lagged);
      return;
    }
    if (path === '/health') {
      sendJson(res, faults.lie || !leaving ? 200 : 503, {
        state: faults.lie ? 'live' : lagged.state,
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
    // Request bodies are read before work starts, so a request refused as
    // "not run" has not been acted on in any part.
    req.resume();
    req.on('end', () => {
      work(req, res).catch((error: Error) => {
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
    if (open > 0) {
      await new Promise<void>((resolve) => {
        drained = resolve;
      });
    }
    const ms = Date.now() - started;
    log.info('drained', { id: options.id, drainMs: ms });
    return ms;
  };

  const stop = async () => {
    const ms = await drain();
    clearInterval(lagTimer);
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
    inflight: () => open,
    drain,
    stop,
  };
};
