/**
 * HTTP stand-in of the platform KV. It implements the routes in this package's
 * README, counts calls (a watch as one call, as the platform bills it) and
 * can inject faults: an outage, slow responses, or a lost response to a write
 * that has already taken effect.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson } from '@cardamomladder/http-json';
import type {
  ConflictReply,
  KvFaults,
  LeaseRequest,
  PutRequest,
  StatsReply,
  WatchReply,
} from '../protocol';
import { KvStore } from './store';

/** Maximum time for which a watch is held before an empty response. */
const MAX_WATCH_MS = 60_000;
const LEASE_EXPIRY_CHECK_MS = 250;

const delay = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** A KV stand-in: its state, its faults and a handler for its routes. */
export interface KvStandin {
  store: KvStore;
  faults: KvFaults;
  calls: Map<string, number>;
  /** Handles the request if its path is a KV route; returns false otherwise. */
  handle: (req: IncomingMessage, res: ServerResponse) => boolean;
  stop: () => void;
}

/** Creates a KV stand-in; mount `handle` on an http server. */
export const createKvStandin = (now: () => number = Date.now): KvStandin => {
  const store = new KvStore(now);
  const faults: KvFaults = {};
  const calls = new Map<string, number>();
  const leaseExpiryTimer = setInterval(() => store.expireLeases(), LEASE_EXPIRY_CHECK_MS);
  leaseExpiryTimer.unref();
  const countCall = (call: string) => calls.set(call, (calls.get(call) ?? 0) + 1);

  const sendWriteReply = (res: ServerResponse, status: number, body: unknown) => {
    // The write took effect but its response is lost. This is the platform's
    // hardest failure for writers: the console must read the key again to find
    // out whether its change was applied.
    if ((faults.loseReplies ?? 0) > 0 && status === 200) {
      faults.loseReplies = (faults.loseReplies ?? 1) - 1;
      res.socket?.destroy();
      return;
    }
    sendJson(res, status, body);
  };

  const watch = async (url: URL, res: ServerResponse) => {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after') ?? '0');
    const timeoutMs = Math.min(Number(url.searchParams.get('timeoutMs') ?? '30000'), MAX_WATCH_MS);
    const reply = (): WatchReply => {
      const { events, compacted } = store.eventsAfter(prefix, after);
      return { events, revision: store.currentRevision, ...(compacted ? { compacted } : {}) };
    };
    const first = reply();
    if (first.events.length > 0 || first.compacted) {
      sendJson(res, 200, first);
      return;
    }
    await new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const unsubscribe = store.onEvent(prefix, after, () => {
        clearTimeout(timer);
        resolve();
      });
      timer = setTimeout(() => {
        unsubscribe();
        resolve();
      }, timeoutMs);
      res.on('close', () => {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      });
    });
    if (!res.writableEnded && !res.destroyed) sendJson(res, 200, reply());
  };

  const route = async (req: IncomingMessage, res: ServerResponse, url: URL) => {
    const { pathname } = url;
    const method = req.method ?? 'GET';
    if (pathname === '/v1/faults' && method === 'POST') {
      Object.assign(faults, (await readJson(req)) as KvFaults);
      sendJson(res, 200, faults);
      return;
    }
    if (pathname === '/v1/stats') {
      const all = Object.fromEntries(calls);
      const reply: StatsReply = {
        calls: all,
        total: [...calls.values()].reduce((a, b) => a + b, 0),
      };
      sendJson(res, 200, reply);
      return;
    }
    if (faults.down) {
      countCall('refused');
      sendJson(res, 503, { error: 'unavailable' });
      return;
    }
    if (faults.delayMs) await delay(faults.delayMs);
    if (pathname === '/v1/watch') {
      countCall('watch');
      await watch(url, res);
      return;
    }
    if (pathname === '/v1/kv' && method === 'GET') {
      countCall('list');
      sendJson(res, 200, {
        items: store.list(url.searchParams.get('prefix') ?? ''),
        revision: store.currentRevision,
      });
      return;
    }
    if (pathname === '/v1/leases' && method === 'POST') {
      countCall('lease');
      const body = (await readJson(req)) as LeaseRequest;
      const ttlMs = Number(body?.ttlMs ?? 10_000);
      sendWriteReply(res, 200, { leaseId: store.grantLease(ttlMs), ttlMs });
      return;
    }
    const keepAliveMatch = /^\/v1\/leases\/([^/]+)\/keepalive$/.exec(pathname);
    if (keepAliveMatch && method === 'POST') {
      countCall('keepalive');
      if (store.keepAlive(keepAliveMatch[1]))
        sendWriteReply(res, 200, { leaseId: keepAliveMatch[1] });
      else sendJson(res, 404, { error: 'lease lapsed' });
      return;
    }
    const keyMatch = /^\/v1\/kv\/(.+)$/.exec(pathname);
    if (keyMatch) {
      const key = decodeURIComponent(keyMatch[1]);
      if (method === 'GET') {
        countCall('get');
        sendJson(res, 200, { item: store.get(key), revision: store.currentRevision });
        return;
      }
      if (method === 'PUT') {
        countCall('put');
        const body = (await readJson(req)) as PutRequest;
        if (typeof body?.value !== 'string') {
          sendJson(res, 400, {
            error: 'send {"value": string, "expectRevision"?: number, "leaseId"?: string}',
          });
          return;
        }
        const outcome = store.put(key, body.value, body.expectRevision, body.leaseId);
        if (outcome.applied) sendWriteReply(res, 200, { modRevision: outcome.modRevision });
        else
          sendJson(res, 409, {
            error: 'conflict',
            currentRevision: outcome.currentRevision,
          } satisfies ConflictReply);
        return;
      }
      if (method === 'DELETE') {
        countCall('delete');
        const expectRevision = url.searchParams.get('expectRevision');
        const outcome = store.delete(
          key,
          expectRevision === null ? undefined : Number(expectRevision),
        );
        if (outcome.applied) sendWriteReply(res, 200, { modRevision: outcome.modRevision });
        else sendJson(res, 409, { error: 'conflict', currentRevision: outcome.currentRevision });
        return;
      }
    }
    sendJson(res, 404, { error: `no route ${method} ${pathname}` });
  };

  const handle = (req: IncomingMessage, res: ServerResponse): boolean => {
    const url = new URL(req.url ?? '/', 'http://standin');
    if (
      !url.pathname.startsWith('/v1/kv') &&
      !url.pathname.startsWith('/v1/watch') &&
      !url.pathname.startsWith('/v1/leases') &&
      url.pathname !== '/v1/faults' &&
      url.pathname !== '/v1/stats'
    ) {
      return false;
    }
    route(req, res, url).catch((error: Error & { status?: number }) => {
      if (!res.headersSent) sendJson(res, error.status ?? 500, { error: error.message });
    });
    return true;
  };

  return { store, faults, calls, handle, stop: () => clearInterval(leaseExpiryTimer) };
};
