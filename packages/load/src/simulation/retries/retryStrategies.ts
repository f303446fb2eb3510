/** Ways in which instances keep to the fleet-wide bound on repeats. */
import type { RepeatBound } from '@cardamomladder/steering';
import {
  CLAIM_VALID_MS,
  NOTE_VALID_MS,
  RetryBudget,
  RetryClaims,
  SlidingWindowCounter,
} from '@cardamomladder/steering';
import type { ClaimableSlot, SlotClaim } from '@cardamomladder/types';
import type { RetryContext, RetryLife, RetryStrategy } from './retrySimulation';

/** Fleet size that an instance assumes at least, for a while after its start. */
const ASSUMED_FLEET_SIZE = 10;
const SETTLE_MS = 6000;
const SHARE_UTILIZATION = 0.85;

/** An equal share of the fixed number and a ratio of the window's requests, kept by each life alone. */
const shares =
  (fixedPart: (ageMs: number, bound: RepeatBound) => number): RetryStrategy =>
  ({ bound, events, knownInstances }) =>
  () => {
    const requests = new SlidingWindowCounter(bound.windowMs);
    const repeats = new SlidingWindowCounter(bound.windowMs);
    const startedAt = events.now;
    const fleetSize = () => {
      const assumed = events.now - startedAt < SETTLE_MS ? ASSUMED_FLEET_SIZE : 1;
      return Math.max(assumed, knownInstances(startedAt));
    };
    const allowed = (): number => {
      const fixed = (bound.extra / fleetSize()) * fixedPart(events.now - startedAt, bound);
      return SHARE_UTILIZATION * (bound.ratio * requests.total(events.now) + fixed);
    };
    return {
      deposit: () => requests.add(events.now),
      withdraw: (decide) => {
        const granted = repeats.total(events.now) + 1 <= allowed();
        if (granted) repeats.add(events.now);
        decide(granted);
      },
    };
  };

/** Each instance has its share of the fixed number whole from its start on. */
export const equalShares: RetryStrategy = shares(() => 1);

/** The share of the fixed number grows during the first window after a start. */
export const growingShares: RetryStrategy = shares((ageMs, { windowMs }) =>
  Math.min(1, ageMs / windowMs),
);

/** The simulated store: one service's claims by slot. */
class ClaimStore {
  readonly claims = new Map<string, SlotClaim>();

  private revision = 0;

  /** Claims the slots if none was claimed since; returns the revision. */
  claim(slots: readonly ClaimableSlot[], claimedAt: number): number | undefined {
    const isCurrent = slots.every(
      ({ slot, revision }) => (this.claims.get(slot)?.revision ?? 0) === revision,
    );
    if (!isCurrent) return undefined;
    this.revision += 1;
    const { revision } = this;
    slots.forEach(({ slot }) => this.claims.set(slot, { slot, revision, claimedAt }));
    return revision;
  }
}

/** Response time of the store, ms: from an instance beside it to one in another region. */
const STORE_MS = { least: 4, most: 80 };
const STORE_TIMEOUT_MS = 450;
/** How long a repeat waits for a claim, ms. */
const CLAIM_WAIT_MS = 300;
/** Time of day at the start of a play, ms. */
const STARTED_AT_UNIX = 1e12;

const claimingLife = (
  { bound, events, random, storeAnswers, countStoreCall, knownInstances }: RetryContext,
  store: ClaimStore,
  instance: number,
): RetryLife => {
  const startedAt = events.now;
  const budget = new RetryBudget(bound, random);
  const fleetSize = () => knownInstances(startedAt);
  const claims = new RetryClaims(bound, random, fleetSize, `note-${instance}`, startedAt);
  budget.allowEarned(claims.earnedFrom);
  let waiting: (() => void)[] = [];
  let busy = false;
  const call = (onAnswer: (() => void) | undefined): void => {
    const isAnswered = storeAnswers();
    const ms = isAnswered
      ? STORE_MS.least + random() * (STORE_MS.most - STORE_MS.least)
      : STORE_TIMEOUT_MS;
    events.after(ms, () => {
      busy = false;
      if (isAnswered) onAnswer?.();
      else claims.recordUnavailable(events.now);
      const ready = waiting;
      waiting = [];
      ready.forEach((retry) => retry());
    });
  };
  const step = (): boolean => {
    if (busy) return true;
    const wanted = { count: waiting.length + 1, earlier: budget.hasEarlier(events.now) };
    const next = claims.next(wanted, events.now);
    if (!next) return false;
    busy = true;
    countStoreCall(next.kind === 'read' ? 'read' : 'write');
    if (next.kind === 'read') {
      call(() => {
        claims.recordRead([...store.claims.values()], {
          monotonic: events.now,
          unix: STARTED_AT_UNIX + events.now,
        });
        budget.allowEarned(claims.earnedFrom);
      });
      return true;
    }
    const sentAt = events.now;
    const { slots } = next;
    const revision = storeAnswers() ? store.claim(slots, STARTED_AT_UNIX + sentAt) : undefined;
    call(() => {
      if (revision === undefined) {
        claims.recordConflict(events.now);
        return;
      }
      if (next.kind === 'note') {
        claims.recordNoted(revision);
        budget.allowEarlier(sentAt + NOTE_VALID_MS);
        return;
      }
      claims.recordClaimed(slots, revision, events.now);
      budget.addClaimed(slots.length * claims.repeatsPerSlot, sentAt + CLAIM_VALID_MS);
    });
    return true;
  };
  const withdraw = (decide: (granted: boolean) => void, since = events.now): void => {
    if (budget.tryWithdraw(events.now)) decide(true);
    else if (events.now - since >= CLAIM_WAIT_MS || !step()) decide(false);
    else waiting.push(() => withdraw(decide, since));
  };
  return { deposit: () => budget.deposit(events.now), withdraw: (decide) => withdraw(decide) };
};

/** Requests earn repeats for a short time; the fixed number is claimed from the store. */
export const earnedAndClaimed: RetryStrategy = (context) => {
  const store = new ClaimStore();
  return (instance) => claimingLife(context, store, instance);
};
