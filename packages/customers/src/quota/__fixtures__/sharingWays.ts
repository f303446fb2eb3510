/** Ways of sharing a limit, to be played against each other. */
import type { InstanceId } from '@cardamomladder/types';
import type { Customer } from '../../customer';
import { Allowances } from '../allowances';
import { keeperOf } from '../keeper';
import { Lender } from '../lender';
import { TokenBucket } from '../tokenBucket';
import type { PlayedFleet, SharingWay } from './playedQuota';
import { PLAYED_CUSTOMER, TOLERANCE } from './playedQuota';

/** Time between rounds of exchange, ms. */
const ROUND_MS = 280;

/** Runs `round` for each instance that is up, at its own moments. */
const inRounds =
  ({ ids, now, isUp }: PlayedFleet, round: (id: InstanceId) => void) =>
  () =>
    ids.forEach((id, i) => {
      if (isUp(id) && (now() + i * 10) % ROUND_MS === 0) round(id);
    });

/** Each instance takes its even part of all that is tolerated. */
export const equalShares = ({ ids, limit, now }: PlayedFleet): SharingWay => {
  const seconds = TOLERANCE.windowMs / 1000;
  const beyond = TOLERANCE.overage * (limit.perSecond * seconds + limit.burst) + TOLERANCE.slack;
  const share = {
    perSecond: (limit.perSecond + beyond / 2 / seconds) / ids.length,
    burst: (limit.burst + beyond / 2) / ids.length,
  };
  const buckets = new Map(ids.map((id) => [id, new TokenBucket(share, 0)]));
  return {
    admit: (id, decide) => decide(buckets.get(id)?.take(1, now()) === 1),
    step: () => {},
    restart: (id) => buckets.set(id, new TokenBucket(share, now())),
  };
};

/** All tell all what they took, and take until the sum reaches the limit; near it only their even part. */
export const countedTogether = (fleet: PlayedFleet): SharingWay => {
  const { ids, limit, now, send } = fleet;
  const nearLimit = limit.burst / 4;
  const fresh = () => ({
    all: new TokenBucket(limit, now()),
    own: new TokenBucket({ perSecond: limit.perSecond / ids.length, burst: 1 }, now()),
    untold: 0,
  });
  const states = new Map(ids.map((id) => [id, fresh()]));
  const stateOf = (id: InstanceId) => states.get(id) ?? fresh();
  return {
    admit: (id, decide) => {
      const state = stateOf(id);
      const strict = state.all.tokens(now()) < nearLimit;
      const admits = strict ? state.own.take(1, now()) === 1 : state.all.take(1, now()) === 1;
      if (admits && strict) state.all.take(1, now());
      if (admits) state.untold += 1;
      decide(admits);
    },
    step: inRounds(fleet, (id) => {
      const state = stateOf(id);
      const told = state.untold;
      if (told === 0) return;
      state.untold = 0;
      ids.forEach((other) => {
        if (other !== id) send(id, other, () => stateOf(other).all.take(told, now()));
      });
    }),
    restart: (id) => states.set(id, fresh()),
  };
};

/** How many instances lend. */
const KEEPERS = 3;

/** Even parts, and tokens that a keeper lends; requests wait for these, or not. */
const lending = (fleet: PlayedFleet, waits: boolean): SharingWay => {
  const { ids, limit, now, send, sees, isUp } = fleet;
  const customer: Customer = { name: PLAYED_CUSTOMER, keys: [], homeRegions: [], limit };
  const holders = { ids, size: ids.length };
  const keeperFor = (viewer: InstanceId): InstanceId => {
    const keepers = ids.filter((id) => sees(viewer, id)).slice(0, KEEPERS);
    const named = keepers.map((id) => ({ id }));
    return keeperOf(PLAYED_CUSTOMER, named)?.id ?? viewer;
  };
  const fresh = (self: InstanceId, startedAt: number) => {
    const allowances = new Allowances({
      self,
      tolerance: TOLERANCE,
      holders: () => holders,
      startedAt,
      now,
    });
    const isKeeper = () => self === keeperFor(self);
    const lender = new Lender({
      self,
      tolerance: TOLERANCE,
      isKeeper,
      holders: () => holders,
      startedAt,
      now,
    });
    allowances.configure([customer]);
    lender.configure([customer]);
    return { allowances, lender };
  };
  const states = new Map(ids.map((id) => [id, fresh(id, 0)]));
  const ask = (id: InstanceId): void => {
    const asking = states.get(id);
    const allowance = asking?.allowances.of(PLAYED_CUSTOMER);
    const need = asking?.allowances.needs().get(PLAYED_CUSTOMER);
    const keeper = keeperFor(id);
    // The lender is to know that it is in touch with those that need nothing.
    if (!need) {
      send(id, keeper, () => states.get(keeper)?.lender.hear(id));
      return;
    }
    const receive = (lent: number | undefined) => {
      // What was lent to a run that has ended since is lost.
      if (lent === undefined || states.get(id) !== asking) return;
      allowance?.receive(lent, now());
    };
    const lend = () => {
      const lender = states.get(keeper)?.lender;
      lender?.review();
      lender?.hear(id);
      return lender?.lend(PLAYED_CUSTOMER, id, need);
    };
    if (id === keeper) receive(lend());
    else
      send(id, keeper, () => {
        const lent = lend();
        send(keeper, id, () => receive(lent));
      });
  };
  const inEachRound = inRounds(fleet, ask);
  return {
    admit: (id, decide) => {
      const allowance = states.get(id)?.allowances.of(PLAYED_CUSTOMER);
      if (!waits) decide(allowance?.take(now()) ?? true);
      else if (!allowance) decide(true);
      else allowance.request(decide, now());
      if (allowance?.isShort(now())) ask(id);
    },
    step: () => {
      inEachRound();
      ids.filter(isUp).forEach((id) => {
        const allowance = states.get(id)?.allowances.of(PLAYED_CUSTOMER);
        allowance?.expire(now());
        if (allowance && allowance.waits > 0) ask(id);
      });
    },
    restart: (id, startedAt) => states.set(id, fresh(id, startedAt)),
  };
};

/** The standing way: even parts, and tokens that a keeper lends. */
export const lentTokens = (fleet: PlayedFleet): SharingWay => lending(fleet, true);

/** The way before: a request that finds no token is turned away at once. */
export const lentTokensAtOnce = (fleet: PlayedFleet): SharingWay => lending(fleet, false);
