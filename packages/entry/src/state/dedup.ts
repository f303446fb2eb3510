/**
 * Deduplicates non-idempotent requests by idempotency key, so that a booking or
 * arrival that a caller sends again (its response was lost or its app retried)
 * does not run twice. A duplicate of a request in flight is rejected; a
 * duplicate of a completed one gets the stored response. Keys are stored per
 * entry: a duplicate sent to another entry is not detected (see docs/PROOFS.md).
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { RequestKey } from '@cardamomladder/types';

/** A complete response, stored for duplicates of its request. */
export interface StoredResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

type KeyState =
  { state: 'running' } | { state: 'done'; answer: StoredResponse } | { state: 'unknown' };

/** Retention time and maximum number of keys. */
export interface DedupLimits {
  ttlMs: number;
  maxKeys: number;
}

/** The default `maxKeys` is well above the bookings of an entry in a whole day. */
export const DEFAULT_DEDUP_LIMITS: DedupLimits = { ttlMs: 10 * 60_000, maxKeys: 100_000 };

/** How to handle a request with a key. */
export type DedupDecision =
  | { kind: 'new' }
  | { kind: 'running' }
  | { kind: 'replay'; answer: StoredResponse }
  | { kind: 'unknown' };

/** Idempotency keys of one entry, with the state of their requests. */
export class DedupCache {
  private readonly keyStates = new Map<RequestKey, { keyState: KeyState; at: number }>();

  constructor(
    private readonly limits: DedupLimits = DEFAULT_DEDUP_LIMITS,
    private readonly now: () => number = Date.now,
  ) {}

  /** Claims `key` for a new request, or returns the state of the earlier request with it. */
  claim(key: RequestKey): DedupDecision {
    this.evict();
    const stored = this.keyStates.get(key);
    if (stored?.keyState.state === 'running') return { kind: 'running' };
    if (stored?.keyState.state === 'done')
      return { kind: 'replay', answer: stored.keyState.answer };
    if (stored?.keyState.state === 'unknown') return { kind: 'unknown' };
    this.keyStates.set(key, { keyState: { state: 'running' }, at: this.now() });
    return { kind: 'new' };
  }

  /** Releases the key of a request that did not run. */
  release(key: RequestKey): void {
    this.keyStates.delete(key);
  }

  /** Stores the response of a completed request. */
  complete(key: RequestKey, answer: StoredResponse): void {
    this.keyStates.set(key, { keyState: { state: 'done', answer }, at: this.now() });
  }

  /** Marks a request that may have run; duplicates are rejected as "unknown" until the key expires. */
  markUnknown(key: RequestKey): void {
    this.keyStates.set(key, { keyState: { state: 'unknown' }, at: this.now() });
  }

  private evict(): void {
    const oldest = this.now() - this.limits.ttlMs;
    for (const [key, stored] of this.keyStates) {
      if (stored.at >= oldest && this.keyStates.size <= this.limits.maxKeys) break;
      this.keyStates.delete(key);
    }
  }
}
