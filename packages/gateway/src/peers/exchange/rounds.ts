/** Exchanges statements with one peer after the other. */
import type { Subscription } from 'rxjs';
import { exhaustMap, filter, interval } from 'rxjs';
import type { InstanceEntry } from '@cardamomladder/fleet';
import type { TransferLimits } from '@cardamomladder/http-json';
import type { DecisionLog } from '../../decisionLog';
import { peerClient } from '../client';
import type { Bulletin } from './bulletin';
import type { ExchangeMessage } from './statement';

/** Rounds of an instance that serves no callers per round of one that does: it only needs to hear. */
const PASSIVE_ROUND_FACTOR = 4;
/** Steps up to which one peer a round is enough to reach all instances within a second. */
const MAX_SINGLE_STEPS = 3;
/** Limits of a peer's response: more than two trips between any two regions without progress; as a whole, the time for which statements are valid. */
const LIMITS: TransferLimits = { headMs: 400, silenceMs: 400, totalMs: 2000 };

/** Dependencies of the rounds. */
export interface ExchangeOptions {
  bulletin: Bulletin;
  self: InstanceEntry;
  /** Interval between rounds, ms. */
  intervalMs: number;
  /** True while a part that needs the exchange is in effect. */
  enabled: () => boolean;
  /** The instances that serve callers, without those that are known to be gone. */
  serving: () => readonly InstanceEntry[];
  /** Called before each round, so that parts can update what this instance says. */
  beforeRound: () => void;
  /** Sends a message to a peer and resolves with its answer; by default over the network. */
  ask?: (peer: InstanceEntry, message: ExchangeMessage) => Promise<unknown>;
  log: DecisionLog;
}

const askOverNetwork = (peer: InstanceEntry, message: ExchangeMessage): Promise<unknown> =>
  peerClient(peer.peerAddress, LIMITS).exchange.mutate(message);

/**
 * Returns the peers that an instance asks in the given round. The distance to them in
 * the order of ids triples from round to round, and both sides learn what the other has
 * heard, so each round triples the number of instances that a statement has reached.
 * Instances do not count their rounds alike, so some of these steps are repeated; in
 * fleets that need more than three steps, two are made in each round.
 */
export const partnersOf = <T extends Pick<InstanceEntry, 'id'>>(
  instances: readonly T[],
  self: Pick<InstanceEntry, 'id'>,
  round: number,
): T[] => {
  const others = instances
    .filter(({ id }) => id !== self.id)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  if (others.length === 0) return [];
  const before = others.filter(({ id }) => id < self.id).length;
  const steps = Math.max(1, Math.ceil(Math.log(others.length + 1) / Math.log(3)));
  const peerAt = (step: number) => others[(before + 3 ** (step % steps) - 1) % others.length];
  return steps <= MAX_SINGLE_STEPS ? [peerAt(round)] : [peerAt(2 * round), peerAt(2 * round + 1)];
};

/** Runs one round: sends what is known here to a peer and takes over what it knows. */
const exchangeWith = async (
  peer: InstanceEntry,
  { bulletin, ask = askOverNetwork, log }: ExchangeOptions,
): Promise<void> => {
  const failed = (reason: string): void =>
    log.write('exchange', undefined, { event: 'failed', peer: peer.id, reason });
  try {
    const received = bulletin.receive(await ask(peer, bulletin.message()));
    if (received.isErr()) failed(received.error.message);
  } catch (error) {
    failed((error as Error).message);
  }
};

/** Starts the rounds; unsubscribe to stop them. */
export const startExchange = (options: ExchangeOptions): Subscription => {
  const { self, intervalMs, enabled, serving, beforeRound } = options;
  return interval(intervalMs)
    .pipe(
      filter(enabled),
      exhaustMap(async (round) => {
        beforeRound();
        const instances = serving();
        const isServing = instances.some(({ id }) => id === self.id);
        if (!isServing && round % PASSIVE_ROUND_FACTOR !== 0) return;
        await Promise.all(
          partnersOf(instances, self, round).map((peer) => exchangeWith(peer, options)),
        );
      }),
    )
    .subscribe();
};
