/**
 * What an instance says in the exchange about whether it serves callers. The load it
 * answers: the store turns away some instances for longer than their leases while they
 * reach all targets and serve callers, so their entries lapse. An instance speaks from
 * its first failed renewal on, since two more renewals are due before the entry lapses.
 */
import { z } from 'zod';
import type { InstanceEntry } from '@cardamomladder/fleet';
import {
  failureDomainName,
  instanceId,
  isSocketAddress,
  regionName,
  socketAddress,
} from '@cardamomladder/types';
import type { Section } from '../peers/exchange';
import { selectAdvertised } from './advertisedInstances';
import type { Phase } from './phase';

/** What an instance says of itself; `run` is the start time of its process (Unix time, ms). */
export type AliveContent =
  { state: 'serving'; run: number; entry: InstanceEntry } | { state: 'leaving'; run: number };

const MAX_TEXT_LENGTH = 200;
const MAX_CORES = 10_000;
const MAX_LINK_MBPS = 10_000_000;

const text = z.string().min(1).max(MAX_TEXT_LENGTH);
const address = text.refine(isSocketAddress, { error: 'give it as host:port' });
const entry = z.strictObject({
  id: text.transform(instanceId),
  callerAddress: address.transform(socketAddress),
  peerAddress: address.transform(socketAddress),
  failureDomain: text.transform(failureDomainName),
  region: text.transform(regionName),
  capacity: z.strictObject({
    cores: z.number().positive().max(MAX_CORES),
    linkMbps: z.number().positive().max(MAX_LINK_MBPS),
  }),
  cutOff: z.boolean().optional(),
});
const run = z.number().int().min(0);

/** The section of the exchange. */
export const ALIVE: Section<AliveContent> = {
  name: 'alive',
  schema: z.discriminatedUnion('state', [
    z.strictObject({ state: z.literal('serving'), run, entry }),
    z.strictObject({ state: z.literal('leaving'), run }),
  ]),
  maxBytes: 2000,
};

/** What decides on an instance's own statement. */
export interface OwnStanding {
  phase: Phase;
  /** True while it accepts callers. */
  ready: boolean;
  /** True while the store renews its lease and its entry is among the followed records. */
  registered: boolean;
  run: number;
  entry: InstanceEntry;
  /** The other live instances. */
  others: readonly InstanceEntry[];
}

/**
 * Returns what an instance says of itself; undefined for nothing. Instances that the
 * directory would not name need not be known, and stay silent: in fleets with many
 * low-capacity instances most statements would be theirs.
 */
export const aliveContent = (own: OwnStanding): AliveContent | undefined => {
  const { phase, ready, registered, entry: self, others } = own;
  if (phase === 'leaving') return { state: 'leaving', run: own.run };
  if (!ready || registered) return undefined;
  const isAdvertised = selectAdvertised([...others, self]).some(({ id }) => id === self.id);
  return isAdvertised ? { state: 'serving', run: own.run, entry: self } : undefined;
};
