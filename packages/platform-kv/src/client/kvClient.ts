/**
 * Client of the platform key-value service. Every call returns a typed
 * `Result`; the failure kind tells the caller what it may assume:
 * `store-unavailable` (the call had no effect), `store-outcome-unknown` (a
 * write may have taken effect; read the key again), `store-conflict` (the
 * compare-and-swap failed), `lease-lapsed` (the lease expired).
 */
import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';
import type { JsonResponse, TransportError } from '@cardamomladder/http-json';
import { callJson } from '@cardamomladder/http-json';
import type {
  ConflictReply,
  GetReply,
  KvItem,
  LeaseReply,
  ListReply,
  PutReply,
  WatchReply,
} from '../protocol';

/** Options of a KV client. */
export interface KvClientOptions {
  /** Base URL, e.g. `http://127.0.0.1:7400`. */
  url: string;
  /** Timeout of a call other than a watch, in milliseconds. */
  timeoutMs?: number;
  /** Called with the route name of every call, for metrics and the capacity benchmark. */
  onCall?: (call: string) => void;
}

/** A client of the platform KV. */
export type KvClient = ReturnType<typeof createKvClient>;

const DEFAULT_TIMEOUT_MS = 2000;
/** Time added to the requested wait to get the timeout of a watch call. */
const WATCH_SLACK_MS = 2000;

const unavailable = (url: string, reason: string) =>
  failure(
    'store-unavailable',
    `the platform KV at ${url} did not respond (${reason}); the last valid configuration remains in use; check the health of the store`,
  );

/** Creates a KV client for the store at `options.url`. */
export const createKvClient = (options: KvClientOptions) => {
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const call = (
    name: string,
    path: string,
    init: { method?: string; body?: unknown; timeoutMs?: number; write?: boolean } = {},
  ): ResultAsync<JsonResponse, Failure> => {
    options.onCall?.(name);
    return callJson(`${base}${path}`, { ...init, timeoutMs: init.timeoutMs ?? timeoutMs })
      .mapErr((e: TransportError) =>
        init.write && e.possiblySent
          ? failure(
              'store-outcome-unknown',
              `no response from the platform KV to a write (${e.message}); read the key again to find out whether the write took effect`,
            )
          : unavailable(base, e.message),
      )
      .andThen((reply) =>
        reply.status === 503 || reply.status >= 500
          ? errAsync(unavailable(base, `status ${reply.status}`))
          : okAsync(reply),
      );
  };

  const keyPath = (key: string) => `/v1/kv/${encodeURIComponent(key)}`;

  return {
    url: base,

    /** Reads a key; null if it does not exist. */
    get: (key: string): ResultAsync<KvItem | null, Failure> =>
      call('get', keyPath(key)).map((r) => (r.body as GetReply).item),

    /** Reads all keys under a prefix. */
    list: (prefix: string): ResultAsync<ListReply, Failure> =>
      call('list', `/v1/kv?prefix=${encodeURIComponent(prefix)}`).map((r) => r.body as ListReply),

    /** Writes a key; with `expectRevision`, as a compare-and-swap (0: the key must not exist). */
    put: (
      key: string,
      value: string,
      opts: { expectRevision?: number; leaseId?: string } = {},
    ): ResultAsync<number, Failure> =>
      call('put', keyPath(key), { method: 'PUT', body: { value, ...opts }, write: true }).andThen(
        (r) =>
          r.status === 409
            ? errAsync(
                failure(
                  'store-conflict',
                  `key ${key} changed since revision ${opts.expectRevision}; read it again and reapply the change`,
                  { currentRevision: (r.body as ConflictReply).currentRevision },
                ),
              )
            : okAsync((r.body as PutReply).modRevision),
      ),

    /** Deletes a key; a key that does not exist is not an error. */
    delete: (key: string): ResultAsync<void, Failure> =>
      call('delete', keyPath(key), { method: 'DELETE', write: true }).map(() => undefined),

    /** Creates a lease that expires `ttlMs` after its last keep-alive. */
    grantLease: (ttlMs: number): ResultAsync<LeaseReply, Failure> =>
      call('lease', '/v1/leases', { method: 'POST', body: { ttlMs }, write: true }).map(
        (r) => r.body as LeaseReply,
      ),

    /** Renews a lease; fails with `lease-lapsed` if it has already expired. */
    keepAlive: (leaseId: string): ResultAsync<void, Failure> =>
      call('keepalive', `/v1/leases/${encodeURIComponent(leaseId)}/keepalive`, {
        method: 'POST',
        write: true,
      }).andThen((r) =>
        r.status === 404
          ? errAsync(
              failure(
                'lease-lapsed',
                `lease ${leaseId} expired; create a new lease and write its keys again`,
              ),
            )
          : okAsync(undefined),
      ),

    /** Waits up to `waitMs` for events on keys under `prefix` after revision `after`. */
    watchOnce: (prefix: string, after: number, waitMs: number): ResultAsync<WatchReply, Failure> =>
      call(
        'watch',
        `/v1/watch?prefix=${encodeURIComponent(prefix)}&after=${after}&timeoutMs=${waitMs}`,
        {
          timeoutMs: waitMs + WATCH_SLACK_MS,
        },
      ).map((r) => r.body as WatchReply),
  };
};
