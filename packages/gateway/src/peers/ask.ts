/**
 * Queries a few peers for the records they hold: one nearby and one that rotates
 * through the fleet, so that an instance in a partitioned failure domain does
 * not only query peers inside it. A new instance queries a seed peer from its
 * settings.
 */
import type {
  InstanceEntry,
  PeerQuery,
  PeerRecords,
  PeerResponse,
  SnapshotQuery,
  UnpackFailure,
} from '@cardamomladder/fleet';
import {
  areReadableChanges,
  isReadablePosition,
  unpackChanges,
  unpackList,
} from '@cardamomladder/fleet';
import { whileProgressing } from '@cardamomladder/http-json';
import type { StorePosition } from '@cardamomladder/types';
import { positionOf, storeEpoch } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { TargetsPace } from '../scope';
import { peerClient } from './client';
import { recordQuery } from './recordQuery';
import type { ReportExchange } from './reportExchange';
import type { FactsResponse } from './router';
import { logSlowTransfer } from './slowTransfers';

/** Peers queried per round: one nearby and one in rotation. */
const MAX_PEERS_PER_ROUND = 2;
/** Step of the rotation as a fraction of all peers: any few consecutive steps are spread evenly over the fleet. */
const GOLDEN_RATIO_CONJUGATE = (Math.sqrt(5) - 1) / 2;
/** Time without progress after which a query for records is given up, ms: more than two trips between any two regions. */
const FACTS_SILENCE_MS = 400;
/** The same for the full list of records that a new instance requests, ms: dozens of instances request it at once over a 20 Mbit/s link. */
const SNAPSHOT_SILENCE_MS = 800;

const INITIAL_POSITION: StorePosition = { epoch: storeEpoch(0), revision: 0 };

/** Dependencies of the peer queries. */
export interface PeerQueryOptions {
  /** Instances known from registry entries or seen directly: an instance that started next to a peer but could not reach the store has not read that peer's entry. */
  peers: () => InstanceEntry[];
  self: InstanceEntry;
  /** Peer addresses from the settings, used while no peer is known. */
  seeds: readonly string[];
  /** This instance's entry while it accepts callers. */
  ownServingEntry: () => InstanceEntry | null;
  exchangeReports: ReportExchange;
  pace: Pick<TargetsPace, 'stated' | 'hear'>;
  log: DecisionLog;
}

/** Hashes an id to a fraction in [0, 1). */
const hashToFraction = (id: string): number =>
  [...id].reduce((hash, character) => (hash * 31 + character.charCodeAt(0)) % 1009, 7) / 1009;

/**
 * Returns the addresses of the peers to query in the given round. The rotating
 * peer is far from the previous one and differs between instances. A rotation by
 * one position per round, the same at all instances, would take many rounds in a
 * large fleet to reach a peer outside the region.
 */
export const selectPeers = (
  peers: readonly InstanceEntry[],
  self: InstanceEntry,
  seeds: readonly string[],
  round: number,
): string[] => {
  const others = peers.filter((p) => p.id !== self.id);
  const distance = (p: InstanceEntry) => (p.region === self.region ? 0 : 1);
  const ordered = [...others]
    .sort((a, b) => distance(a) - distance(b))
    .map((p) => p.peerAddress as string);
  const addresses = ordered.length > 0 ? ordered : seeds.filter((s) => s !== self.peerAddress);
  if (addresses.length === 0) return [];
  const nearby = addresses[round % Math.min(2, addresses.length)];
  const position = (hashToFraction(self.id) + round * GOLDEN_RATIO_CONJUGATE) % 1;
  const rotating = addresses[Math.floor(position * addresses.length)];
  return [...new Set([nearby, rotating])].slice(0, MAX_PEERS_PER_ROUND);
};

/** Unpacks the records of a response; throws if they are unreadable. */
const unpackRecords = async ({
  packed,
  packedChanges,
  changes,
}: FactsResponse): Promise<PeerRecords> => {
  const orThrow = (failure: UnpackFailure): never => {
    throw new Error(failure.message);
  };
  if (packed !== undefined) return { list: (await unpackList(packed)).match((l) => l, orThrow) };
  if (packedChanges === undefined) {
    if (changes && !(isReadablePosition(changes) && areReadableChanges(changes.changes)))
      throw new Error("a peer's changes have an unexpected format; upgrade that peer");
    return { changes };
  }
  if (!isReadablePosition(packedChanges))
    throw new Error("a peer's position has an unexpected format; upgrade that peer");
  const unpacked = (await unpackChanges(packedChanges.packed)).match((c) => c, orThrow);
  return { changes: { ...positionOf(packedChanges), changes: unpacked } };
};

/** Queries one peer; logs the failure and returns undefined if there is no usable response. */
const queryPeer = async (
  { ownServingEntry, exchangeReports, pace, log }: PeerQueryOptions,
  address: string,
  known: StorePosition,
  silenceMs: number,
): Promise<PeerResponse | undefined> => {
  const failed = (reason: string): undefined => {
    log.write('store', undefined, { event: 'peer did not answer', peer: address, reason });
  };
  try {
    const limits = whileProgressing(silenceMs);
    const client = peerClient(address, limits, logSlowTransfer(log, address));
    const answer = await client.facts.query({
      ...known,
      asker: ownServingEntry(),
      unpacks: true,
      statesPace: pace.stated,
    });
    if (answer.statesPace) pace.hear();
    const { storeReachedForMs, position, reports } = answer;
    if (reports) exchangeReports(address, reports).catch((error: Error) => failed(error.message));
    return { storeReachedForMs, position, ...(await unpackRecords(answer)) };
  } catch (error) {
    return failed((error as Error).message);
  }
};

/** Creates the query that the follower uses while the store is unreachable. */
export const createPeerQuery = (options: PeerQueryOptions): PeerQuery =>
  recordQuery({
    select: (round) => selectPeers(options.peers(), options.self, options.seeds, round),
    query: (address, known) => queryPeer(options, address, known, FACTS_SILENCE_MS),
  });

/**
 * Creates the query of a new instance. Only one random seed peer is queried:
 * the store is as near, and waiting for a second peer costs more than listing
 * from the store. An instance that is itself a seed lists from the store;
 * otherwise seeds that start together would wait for each other.
 */
export const createSnapshotQuery =
  (options: PeerQueryOptions, random: () => number): SnapshotQuery =>
  async () => {
    const { seeds, self } = options;
    if (seeds.length === 0 || seeds.includes(self.peerAddress)) return undefined;
    const address = seeds[Math.floor(random() * seeds.length)];
    const answer = await queryPeer(options, address, INITIAL_POSITION, SNAPSHOT_SILENCE_MS);
    return answer?.storeReachedForMs === undefined ? undefined : answer.list;
  };
