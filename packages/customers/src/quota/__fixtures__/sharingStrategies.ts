/** Strategies for sharing a limit, compared in the simulations. */
import type { InstanceId } from '@cardamomladder/types';
import type { Customer } from '../../customer';
import { LocalQuotas } from '../localQuotas';
import { lenderOf } from '../lenderSelection';
import { Lender } from '../lender';
import { TokenBucket } from '../tokenBucket';
import type { QuotaFleet, SharingStrategy } from './quotaSimulation';
import { SIMULATED_CUSTOMER, TOLERANCE } from './quotaSimulation';

/** Interval between rounds of messages, ms. */
const ROUND_INTERVAL_MS = 280;

/** Runs `round` periodically for each instance that is up, staggered by instance. */
const inRounds =
  ({ ids, now, isUp }: QuotaFleet, round: (id: InstanceId) => void) =>
  () =>
    ids.forEach((id, i) => {
      if (isUp(id) && (now() + i * 10) % ROUND_INTERVAL_MS === 0) round(id);
    });

/** Each instance has an equal share of the limit and its tolerance. */
export const equalShares = ({ ids, limit, now }: QuotaFleet): SharingStrategy => {
  const seconds = TOLERANCE.windowMs / 1000;
  const tolerated = TOLERANCE.overage * (limit.perSecond * seconds + limit.burst) + TOLERANCE.slack;
  const share = {
    perSecond: (limit.perSecond + tolerated / 2 / seconds) / ids.length,
    burst: (limit.burst + tolerated / 2) / ids.length,
  };
  const buckets = new Map(ids.map((id) => [id, new TokenBucket(share, 0)]));
  return {
    admit: (id, decide) => decide(buckets.get(id)?.take(1, now()) === 1),
    step: () => {},
    restart: (id) => buckets.set(id, new TokenBucket(share, now())),
  };
};

/** Instances broadcast their counts and admit until the sum reaches the limit; near it, each uses only its equal share. */
export const broadcastCounts = (fleet: QuotaFleet): SharingStrategy => {
  const { ids, limit, now, send } = fleet;
  const nearLimit = limit.burst / 4;
  const newState = () => ({
    all: new TokenBucket(limit, now()),
    own: new TokenBucket({ perSecond: limit.perSecond / ids.length, burst: 1 }, now()),
    unreported: 0,
  });
  const states = new Map(ids.map((id) => [id, newState()]));
  const stateOf = (id: InstanceId) => states.get(id) ?? newState();
  return {
    admit: (id, decide) => {
      const state = stateOf(id);
      const isNearLimit = state.all.tokens(now()) < nearLimit;
      const isAdmitted = isNearLimit
        ? state.own.take(1, now()) === 1
        : state.all.take(1, now()) === 1;
      if (isAdmitted && isNearLimit) state.all.take(1, now());
      if (isAdmitted) state.unreported += 1;
      decide(isAdmitted);
    },
    step: inRounds(fleet, (id) => {
      const state = stateOf(id);
      const reported = state.unreported;
      if (reported === 0) return;
      state.unreported = 0;
      ids.forEach((other) => {
        if (other !== id) send(id, other, () => stateOf(other).all.take(reported, now()));
      });
    }),
    restart: (id) => states.set(id, newState()),
  };
};

/** Maximum number of lenders. */
const MAX_LENDERS = 3;

/** Guaranteed shares plus tokens from a lender; requests wait for tokens or are rejected immediately. */
const lending = (fleet: QuotaFleet, waitsForTokens: boolean): SharingStrategy => {
  const { ids, limit, now, send, sees, isUp } = fleet;
  const customer: Customer = { name: SIMULATED_CUSTOMER, keys: [], homeRegions: [], limit };
  const sharers = { ids, size: ids.length };
  const lenderFor = (viewer: InstanceId): InstanceId => {
    const lenders = ids.filter((id) => sees(viewer, id)).slice(0, MAX_LENDERS);
    const candidates = lenders.map((id) => ({ id }));
    return lenderOf(SIMULATED_CUSTOMER, candidates)?.id ?? viewer;
  };
  const newState = (self: InstanceId, startedAt: number) => {
    const quotas = new LocalQuotas({
      self,
      tolerance: TOLERANCE,
      sharers: () => sharers,
      startedAt,
      now,
    });
    const isLender = () => self === lenderFor(self);
    const lender = new Lender({
      self,
      tolerance: TOLERANCE,
      isLender,
      sharers: () => sharers,
      startedAt,
      now,
    });
    quotas.configure([customer]);
    lender.configure([customer]);
    return { quotas, lender };
  };
  const states = new Map(ids.map((id) => [id, newState(id, 0)]));
  const ask = (id: InstanceId): void => {
    const asking = states.get(id);
    const quota = asking?.quotas.of(SIMULATED_CUSTOMER);
    const need = asking?.quotas.needs().get(SIMULATED_CUSTOMER);
    const lenderId = lenderFor(id);
    // Contact is recorded for instances that need no tokens, too.
    if (!need) {
      send(id, lenderId, () => states.get(lenderId)?.lender.recordContact(id));
      return;
    }
    const receive = (lent: number | undefined) => {
      // Tokens lent to an instance that has restarted since are lost.
      if (lent === undefined || states.get(id) !== asking) return;
      quota?.receive(lent, now());
    };
    const lend = () => {
      const lender = states.get(lenderId)?.lender;
      lender?.updatePools();
      lender?.recordContact(id);
      return lender?.lend(SIMULATED_CUSTOMER, id, need);
    };
    if (id === lenderId) receive(lend());
    else
      send(id, lenderId, () => {
        const lent = lend();
        send(lenderId, id, () => receive(lent));
      });
  };
  const inEachRound = inRounds(fleet, ask);
  return {
    admit: (id, decide) => {
      const quota = states.get(id)?.quotas.of(SIMULATED_CUSTOMER);
      if (!waitsForTokens) decide(quota?.take(now()) ?? true);
      else if (!quota) decide(true);
      else quota.request(decide, now());
      if (quota?.shouldAskNow(now())) ask(id);
    },
    step: () => {
      inEachRound();
      ids.filter(isUp).forEach((id) => {
        const quota = states.get(id)?.quotas.of(SIMULATED_CUSTOMER);
        quota?.rejectExpired(now());
        if (quota && quota.waitingCount > 0) ask(id);
      });
    },
    restart: (id, startedAt) => states.set(id, newState(id, startedAt)),
  };
};

/** The strategy in use: guaranteed shares plus lent tokens that requests wait for. */
export const lentTokens = (fleet: QuotaFleet): SharingStrategy => lending(fleet, true);

/** The previous strategy: a request that finds no token is rejected immediately. */
export const lentTokensWithoutWaiting = (fleet: QuotaFleet): SharingStrategy =>
  lending(fleet, false);
