/**
 * The platform KV stand-in over HTTP. It speaks the routes in this package's
 * README, counts every call (a waiting watch as one, as the platform bills
 * it) and can be told to fail: down, slow, or losing the reply to a write
 * that has already taken effect.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson } from '@cardamomladder/http-json';
import type {
  ConflictReply,
  Faults,
  LeaseRequest,
  PutRequest,
  StatsReply,
  WatchReply,
} from '../protocol';
import { KvStore } from './store';

/** Longest a watch may wait before answering with no events. */
const MAX_WATCH_MS = 60_000;
const LEASE_SWEEP_MS = 250;

const delay = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** A mounted KV stand-in: its state, its faults, and a handler for its routes. */
export interface KvStandin {
  store: KvStore;
  faults: Faults;
  calls: Map<string, number>;
  /** Handles the request if its path is one of ours; false otherwise. */
  handle: (req: IncomingMessage, res: ServerResponse) => boolean;
  stop: () => void;
}

/** Creates a KV stand-in; mount `handle` on an http server. */
export const createKvStandin = (now: () => number = Date.now): KvStandin => {
  const store = new KvStore(now);
  const faults: Faults = {};
  const calls = new Map<string, number>();
  const sweep = setInterval(() => store.expireLeases(), LEASE_SWEEP_MS);
  sweep.unref();
  const count = (call: string) => calls.set(call, (calls.get(call) ?? 0) + 1);

  const write = (res: ServerResponse, status: number, body: unknown) => {
    // A lost reply: the write took effect but the caller never hears so.
    // This is the platform's hardest failure for writers; the console must
    // re-read to learn whether its change happened.
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
      const cancel = store.onEvent(prefix, after, () => {
        clearTimeout(timer);
        resolve();
      });
      timer = setTimeout(() => {
        cancel();
        resolve();
      }, timeoutMs);
      res.on('close', () => {
        clearTimeout(timer);
        cancel();
        resolve();
      });
    });
    if (!res.writableEnded && !res.destroyed) sendJson(res, 200, reply());
  };

  const route = async (req: IncomingMessage, res: ServerResponse, url: URL) => {
    const { pathname } = url;
    const method = req.method ?? 'GET';
    if (pathname === '/v1/faults' && method === 'POST') {
      Object.assign(faults, (await readJson(req)) as Faults);
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
      count('refused');
      sendJson(res, 503, { error: 'unavailable' });
      return;
    }
    if (faults.delayMs) await delay(faults.delayMs);
    if (pathname === '/v1/watch') {
      count('watch');
      await watch(url, res);
      return;
    }
    if (pathname === '/v1/kv' && method === 'GET') {
      count('list');
      sendJson(res, 200, {
        items: store.list(url.searchParams.get('prefix') ?? ''),
        revision: store.currentRevision,
      });
      return;
    }
    if (pathname === '/v1/leases' && method === 'POST') {
      count('lease');
      const body = (await readJson(req)) as LeaseRequest;
      const ttlMs = Number(body?.ttlMs ?? 10_000);
      write(res, 200, { leaseId: store.grantLease(ttlMs), ttlMs });
      return;
    }
    const keepalive = /^\/v1\/leases\/([^/]+)\/keepalive$/.exec(pathname);
    if (keepalive && method === 'POST') {
      count('keepalive');
      if (store.keepAlive(keepalive[1])) write(res, 200, { leaseId: keepalive[1] });
      else sendJson(res, 404, { error: 'lease lapsed' });
      return;
    }
    const kv = /^\/v1\/kv\/(.+)$/.exec(pathname);
    if (kv) {
      const key = decodeURIComponent(kv[1]);
      if (method === 'GET') {
        count('get');
        sendJson(res, 200, { item: store.get(key), revision: store.currentRevision });
        return;
      }
      if (method === 'PUT') {
        count('put');
        const body = (await readJson(req)) as PutRequest;
        if (typeof body?.value !== 'string') {
          sendJson(res, 400, {
            error: 'send {"value": string, "expectRevision"?: number, "leaseId"?: string}',
          });
          return;
        }
        const outcome = store.put(key, body.value, body.expectRevision, body.leaseId);
        if (outcome.applied) write(res, 200, { modRevision: outcome.modRevision });
        else
          sendJson(res, 409, {
            error: 'conflict',
            currentRevision: outcome.currentRevision,
          } satisfies ConflictReply);
        return;
      }
      if (method === 'DELETE') {
        count('delete');
        const expect = url.searchParams.get('expectRevision');
        const outcome = store.delete(key, expect === null ? undefined : Number(expect));
        if (outcome.applied) write(res, 200, { modRevision: outcome.modRevision });
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

  return { store, faults, calls, handle, stop: () => clearInterval(sweep) };
};
