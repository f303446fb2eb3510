/** Claims this instance's part of the repeats that all instances share, one store call at a time. */
import type { Store } from '@cardamomladder/fleet';
import type { ClaimStep, RepeatBound, RetryBudget, WantedRepeats } from '@cardamomladder/steering';
import { CLAIM_VALID_MS, NOTE_VALID_MS, RetryClaims } from '@cardamomladder/steering';
import type { InstanceId, ServiceName } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';

/** The part of the store that claims need. */
export type ClaimStore = Pick<Store, 'readRetryClaims' | 'claimRetries' | 'epochs'>;

/** Dependencies of a reserve. */
export interface RetryReserveOptions {
  self: InstanceId;
  service: ServiceName;
  bound: RepeatBound;
  /** Gets what is claimed and noted. */
  budget: Pick<RetryBudget, 'addClaimed' | 'allowEarned' | 'allowEarlier'>;
  store: ClaimStore;
  /** Number of instances; only to spread calls. */
  fleetSize: () => number;
  random: () => number;
  log: DecisionLog;
  /** Monotonic clock, ms. */
  now: () => number;
  /** Time of day, ms. */
  unixNow: () => number;
}

/** Claims repeats for one service. */
export interface RetryReserve {
  /**
   * Starts a store call towards the wanted repeats, or joins the one in progress; resolves
   * when it has ended. Undefined if none is worthwhile now.
   */
  replenish: (wanted: WantedRepeats) => Promise<void> | undefined;
}

/** Creates the reserve of one service. */
export const createRetryReserve = (options: RetryReserveOptions): RetryReserve => {
  const { self, service, bound, budget, store, fleetSize, random, log, now, unixNow } = options;
  const claims = new RetryClaims(bound, random, fleetSize, `note-${self}`, now());
  budget.allowEarned(claims.earnedFrom);
  let inProgress: Promise<void> | undefined;
  store.epochs.subscribe(() => claims.recordLostHistory(now()));

  const read = async (): Promise<void> => {
    const result = await store.readRetryClaims(service);
    if (result.isOk()) claims.recordRead(result.value, { monotonic: now(), unix: unixNow() });
    else claims.recordUnavailable(now());
    budget.allowEarned(claims.earnedFrom);
  };

  const write = async ({ kind, slots }: Exclude<ClaimStep, { kind: 'read' }>): Promise<void> => {
    const sentAt = now();
    const result = await store.claimRetries(service, slots, unixNow());
    const repeats = slots.length * claims.repeatsPerSlot;
    if (result.isOk() && kind === 'note') {
      claims.recordNoted(result.value);
      budget.allowEarlier(sentAt + NOTE_VALID_MS);
    } else if (result.isOk()) {
      claims.recordClaimed(slots, result.value, now());
      budget.addClaimed(repeats, sentAt + CLAIM_VALID_MS);
    } else if (result.error.kind === 'conflict') claims.recordConflict(now());
    else claims.recordUnavailable(now());
    log.write('retry-claim', undefined, {
      service,
      kind,
      repeats: kind === 'claim' ? repeats : undefined,
      result: result.isOk() ? 'written' : result.error.kind,
      ms: Math.round(now() - sentAt),
    });
  };

  return {
    replenish: (wanted) => {
      if (inProgress) return inProgress;
      const step = claims.next(wanted, now());
      if (!step) return undefined;
      inProgress = (step.kind === 'read' ? read() : write(step)).finally(() => {
        inProgress = undefined;
      });
      return inProgress;
    },
  };
};
