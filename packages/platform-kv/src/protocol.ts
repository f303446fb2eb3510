/**
 * Wire messages of the platform key-value service as its stand-in speaks
 * them (HTTP with JSON bodies under `/v1`). The routes are listed in this
 * package's README; the types here are the bodies.
 */

/** One stored key as returned by reads and watches; `value` null is a deletion. */
export interface KvItem {
  key: string;
  value: string | null;
  modRevision: number;
}

/** Answer to `GET /v1/kv/:key`. */
export interface GetReply {
  item: KvItem | null;
  revision: number;
}

/** Answer to `GET /v1/kv?prefix=`. */
export interface ListReply {
  items: KvItem[];
  revision: number;
}

/** Body of `PUT /v1/kv/:key`. `expectRevision` 0 means "must not exist yet". */
export interface PutRequest {
  value: string;
  expectRevision?: number;
  leaseId?: string;
}

/** Answer to a successful put. */
export interface PutReply {
  modRevision: number;
}

/** Answer 409 to a put or delete whose `expectRevision` did not match. */
export interface ConflictReply {
  error: 'conflict';
  currentRevision: number;
}

/** Answer to `GET /v1/watch?prefix=&after=&timeoutMs=`: events after `after`, or none on timeout. */
export interface WatchReply {
  events: KvItem[];
  revision: number;
  compacted?: boolean;
}

/** Body of `POST /v1/leases`. */
export interface LeaseRequest {
  ttlMs: number;
}

/** Answer to a lease grant or keep-alive. */
export interface LeaseReply {
  leaseId: string;
  ttlMs: number;
}

/** Body of `POST /v1/faults` on the stand-in: what to break until changed again. */
export interface Faults {
  /** Answer every call with 503, as during an outage. */
  down?: boolean;
  /** Delay every answer by this many milliseconds, as when the store is slow. */
  delayMs?: number;
  /** Apply the next N writes, then drop the connection instead of answering. */
  loseReplies?: number;
}

/** Answer to `GET /v1/stats`: calls counted by route, a waiting watch as one. */
export interface StatsReply {
  calls: Record<string, number>;
  total: number;
}
