/**
 * Request and response bodies of the platform key-value service, as its
 * stand-in implements it (HTTP with JSON bodies under `/v1`). The routes are
 * listed in this package's README.
 */

/** A key as returned by reads and watches; a null `value` marks a deletion. */
export interface KvItem {
  key: string;
  value: string | null;
  modRevision: number;
}

/** Response to `GET /v1/kv/:key`. */
export interface GetReply {
  item: KvItem | null;
  revision: number;
}

/** Response to `GET /v1/kv?prefix=`. */
export interface ListReply {
  items: KvItem[];
  revision: number;
}

/** Body of `PUT /v1/kv/:key`. `expectRevision` 0: the key must not exist. */
export interface PutRequest {
  value: string;
  expectRevision?: number;
  leaseId?: string;
}

/** Response to a successful put. */
export interface PutReply {
  modRevision: number;
}

/** 409 response to a put or delete whose `expectRevision` did not match. */
export interface ConflictReply {
  error: 'conflict';
  currentRevision: number;
}

/** Response to `GET /v1/watch?prefix=&after=&timeoutMs=`: events after revision `after`; none on timeout. */
export interface WatchReply {
  events: KvItem[];
  revision: number;
  compacted?: boolean;
}

/** Body of `POST /v1/leases`. */
export interface LeaseRequest {
  ttlMs: number;
}

/** Response to the creation of a lease. A keep-alive response has only `leaseId`. */
export interface LeaseReply {
  leaseId: string;
  ttlMs: number;
}

/** Body of `POST /v1/faults` on the stand-in: faults to inject until they are changed again. */
export interface KvFaults {
  /** Respond to every call with 503, as during an outage. */
  down?: boolean;
  /** Delay every response by this many milliseconds, as when the store is slow. */
  delayMs?: number;
  /** Apply the next N writes, but drop the connection instead of responding. */
  loseReplies?: number;
}

/** Response to `GET /v1/stats`: number of calls by route; a watch counts as one call. */
export interface StatsReply {
  calls: Record<string, number>;
  total: number;
}
