/** Claims this instance's part of the repeats that all instances share, one store call at a time. */
import type { Store } from '@cardamomladder/fleet';
import type { ClaimStep, RepeatBound } from '@cardamomladder/steering';
import { CLAIM_VALID_MS, RetryClaims } from '@cardamomladder/steering';
import type { ServiceName } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';

/** The part of the store that claims need. */
export type ClaimStore = Pick<Store, 'readRetryClaims' | 'claimRetries' | 'epochs'>;

/** Dependencies of a reserve. */
export interface RetryReserveOptions {
  service: ServiceName;
  bound: RepeatBound;
  store: ClaimStore;
  /** Number of instances; only to spread calls. */
  fleetSize: () => number;
  random: () => number;
  log: DecisionLog;
  /** Monotonic clock, ms. */
  now: () => number;
  /** Time of day, ms. */
  unixNow: () => number;
  /** Called with repeats that were claimed and may be sent until then. */
  onClaimed: (repeats: number, until: number) => void;
}

/** Claims repeats for one service. */
export interface RetryReserve {
  /**
   * Starts a store call towards `wanted` repeats, or joins the one in progress; resolves
   * when it has ended. Undefined if none is worthwhile now.
   */
  replenish: (wanted: number) => Promise<void> | undefined;
}

/** Creates the reserve of one service. */
export const createRetryReserve = (options: RetryReserveOptions): RetryReserve => {
  const { service, bound, store, fleetSize, random, log, now, unixNow, onClaimed } = options;
  const claims = new RetryClaims(bound, random, fleetSize);
  let inProgress: Promise<void> | undefined;
  store.epochs.subscribe(() => claims.recordLostHistory(now()));

  const read = async (): Promise<void> => {
    const result = await store.readRetryClaims(service);
    if (result.isOk()) claims.recordRead(result.value, { monotonic: now(), unix: unixNow() });
    else claims.recordUnavailable(now());
  };

  const claim = async ({ slots }: Extract<ClaimStep, { kind: 'claim' }>): Promise<void> => {
    const sentAt = now();
    const result = await store.claimRetries(service, slots, unixNow());
    const repeats = slots.length * claims.repeatsPerSlot;
    if (result.isOk()) {
      claims.recordClaimed(slots, result.value, now());
      onClaimed(repeats, sentAt + CLAIM_VALID_MS);
    } else if (result.error.kind === 'conflict') claims.recordConflict(now());
    else claims.recordUnavailable(now());
    log.write('retry-claim', undefined, {
      service,
      repeats,
      result: result.isOk() ? 'claimed' : result.error.kind,
      ms: Math.round(now() - sentAt),
    });
  };

  return {
    replenish: (wanted) => {
      if (inProgress) return inProgress;
      const step = claims.next(wanted, now());
      if (!step) return undefined;
      inProgress = (step.kind === 'read' ? read() : claim(step)).finally(() => {
        inProgress = undefined;
      });
      return inProgress;
    },
  };
};
