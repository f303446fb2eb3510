/**
 * Remembers non-idempotent requests by the caller's idempotency key, so that
 * a caller that sends the same booking or arrival again (its reply was lost,
 * its app retried) does not make the target run it twice. A repeat of a
 * request still in flight is refused; a repeat of a finished one gets the
 * stored answer. The memory is this entry's alone: a repeat sent to another
 * entry is not caught here (docs/PROOFS.md lists this).
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { RequestKey } from '@cardamomladder/types';

/** A finished answer, kept to replay to a repeat. */
export interface StoredAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

type Slot = { state: 'running' } | { state: 'done'; answer: StoredAnswer } | { state: 'unknown' };

/** How long and how many keys are kept. */
export interface DedupLimits {
  ttlMs: number;
  maxKeys: number;
}

/** Default limits: a day's bookings at an entry fit easily. */
export const DEFAULT_DEDUP: DedupLimits = { ttlMs: 10 * 60_000, maxKeys: 100_000 };

/** What to do with a request carrying a key. */
export type DedupVerdict =
  | { kind: 'new' }
  | { kind: 'running' }
  | { kind: 'replay'; answer: StoredAnswer }
  | { kind: 'unknown' };

/** The idempotency-key memory of one entry. */
export class Dedup {
  private readonly slots = new Map<RequestKey, { slot: Slot; at: number }>();

  constructor(
    private readonly limits: DedupLimits = DEFAULT_DEDUP,
    private readonly now: () => number = Date.now,
  ) {}

  /** Claims `key` for a new request, or says why not. */
  claim(key: RequestKey): DedupVerdict {
    this.expire();
    const held = this.slots.get(key);
    if (held?.slot.state === 'running') return { kind: 'running' };
    if (held?.slot.state === 'done') return { kind: 'replay', answer: held.slot.answer };
    if (held?.slot.state === 'unknown') return { kind: 'unknown' };
    this.slots.set(key, { slot: { state: 'running' }, at: this.now() });
    return { kind: 'new' };
  }

  /** The request surely did not run: the key is free again. */
  release(key: RequestKey): void {
    this.slots.delete(key);
  }

  /** The request ran and answered. */
  finish(key: RequestKey, answer: StoredAnswer): void {
    this.slots.set(key, { slot: { state: 'done', answer }, at: this.now() });
  }

  /** The request may have run; repeats are refused as "unknown" until the key expires. */
  markUnknown(key: RequestKey): void {
    this.slots.set(key, { slot: { state: 'unknown' }, at: this.now() });
  }

  private expire(): void {
    const oldest = this.now() - this.limits.ttlMs;
    for (const [key, held] of this.slots) {
      if (held.at >= oldest && this.slots.size <= this.limits.maxKeys) break;
      this.slots.delete(key);
    }
  }
}
