/**
 * Client of the platform key-value service. Every call returns a typed
 * `Result`; the failure kinds tell the caller what it may assume:
 * `store-unavailable` (the call surely did not take effect),
 * `store-outcome-unknown` (a write may have taken effect: re-read),
 * `store-conflict` (compare-and-swap lost), `lease-lapsed`.
 */
import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';
import type { JsonReply, TransportError } from '@cardamomladder/http-json';
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

/** Where the store is and how long a call may take. */
export interface KvClientOptions {
  /** Base URL, e.g. `http://127.0.0.1:7400`. */
  url: string;
  /** Timeout of one ordinary call in milliseconds. */
  timeoutMs?: number;
  /** Told of every call made, by route name; for metrics and the capacity bench. */
  onCall?: (call: string) => void;
}

/** A client of the platform KV. */
export type KvClient = ReturnType<typeof createKvClient>;

const DEFAULT_TIMEOUT_MS = 2000;
/** Extra time a watch call may take beyond the wait it asked the store for. */
const WATCH_SLACK_MS = 2000;

const unavailable = (url: string, why: string) =>
  failure(
    'store-unavailable',
    `the platform KV at ${url} did not answer (${why}); the last good configuration stays in force; check the store's health`,
  );

/** Creates a KV client for the store at `options.url`. */
export const createKvClient = (options: KvClientOptions) => {
  const base = options.url.replace(/\/$/, '');
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  const call = (
    name: string,
    path: string,
    init: { method?: string; body?: unknown; timeoutMs?: number; write?: boolean } = {},
  ): ResultAsync<JsonReply, Failure> => {
    options.onCall?.(name);
    return callJson(`${base}${path}`, { ...init, timeoutMs: init.timeoutMs ?? timeoutMs })
      .mapErr((e: TransportError) =>
        init.write && e.sent
          ? failure(
              'store-outcome-unknown',
              `the platform KV lost the reply to a write (${e.message}); re-read the key to learn whether it took effect`,
            )
          : unavailable(base, e.message),
      )
      .andThen((reply) =>
        reply.status === 503 || reply.status >= 500
          ? errAsync(unavailable(base, `status ${reply.status}`))
          : okAsync(reply),
      );
  };

  const key = (k: string) => `/v1/kv/${encodeURIComponent(k)}`;

  return {
    url: base,

    /** Reads one key; null if absent. */
    get: (k: string): ResultAsync<KvItem | null, Failure> =>
      call('get', key(k)).map((r) => (r.body as GetReply).item),

    /** Reads all keys under a prefix. */
    list: (prefix: string): ResultAsync<ListReply, Failure> =>
      call('list', `/v1/kv?prefix=${encodeURIComponent(prefix)}`).map((r) => r.body as ListReply),

    /** Writes a key; `expectRevision` makes it a compare-and-swap (0: must not exist). */
    put: (
      k: string,
      value: string,
      opts: { expectRevision?: number; leaseId?: string } = {},
    ): ResultAsync<number, Failure> =>
      call('put', key(k), { method: 'PUT', body: { value, ...opts }, write: true }).andThen((r) =>
        r.status === 409
          ? errAsync(
              failure(
                'store-conflict',
                `key ${k} changed since revision ${opts.expectRevision}; re-read it and apply your change again`,
                { currentRevision: (r.body as ConflictReply).currentRevision },
              ),
            )
          : okAsync((r.body as PutReply).modRevision),
      ),

    /** Deletes a key; absent keys are not an error. */
    delete: (k: string): ResultAsync<void, Failure> =>
      call('delete', key(k), { method: 'DELETE', write: true }).map(() => undefined),

    /** Grants a lease of `ttlMs`. */
    grantLease: (ttlMs: number): ResultAsync<LeaseReply, Failure> =>
      call('lease', '/v1/leases', { method: 'POST', body: { ttlMs }, write: true }).map(
        (r) => r.body as LeaseReply,
      ),

    /** Keeps a lease alive; `lease-lapsed` if it already lapsed. */
    keepAlive: (leaseId: string): ResultAsync<void, Failure> =>
      call('keepalive', `/v1/leases/${encodeURIComponent(leaseId)}/keepalive`, {
        method: 'POST',
        write: true,
      }).andThen((r) =>
        r.status === 404
          ? errAsync(
              failure(
                'lease-lapsed',
                `lease ${leaseId} lapsed; grant a new lease and write your keys again`,
              ),
            )
          : okAsync(undefined),
      ),

    /** Waits up to `waitMs` for events under `prefix` after revision `after`. */
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
