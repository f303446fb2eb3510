/**
 * Asks a few peers for the facts they hold: one near and another in turn, so
 * that a failure domain cut off as a whole is not asked only inside. A fresh
 * instance asks one that its settings name.
 */
import type {
  InstanceEntry,
  PeerAnswer,
  PeerQuestion,
  SnapshotQuestion,
} from '@cardamomladder/fleet';
import { unpackFacts } from '@cardamomladder/fleet';
import type { StoreMoment } from '@cardamomladder/types';
import { storeEpoch } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from './client';
import type { ReportExchange } from './reportExchange';

/** Peers asked at a time: one near, one in turn. */
const PEERS_ASKED = 2;
/** The step from one peer in turn to the next, as a part of all: any few steps in a row are spread evenly over them. */
const GOLDEN_SECTION = (Math.sqrt(5) - 1) / 2;
/** How long a peer may take to answer, ms: over two ways between any regions. */
const PEER_TIMEOUT_MS = 400;
/** How long a peer may take to hand all facts to a fresh instance, ms: 30 kB of them to dozens at once over a link of 20 Mbit/s. */
const SNAPSHOT_TIMEOUT_MS = 800;

const NOTHING_KNOWN: StoreMoment = { epoch: storeEpoch(0), revision: 0 };

/** What asking needs of the instance. */
export interface AskOptions {
  /** The instances known by their entry or their own word: one that started beside a peer while the store turned it away has read no entry of it. */
  peers: () => InstanceEntry[];
  self: InstanceEntry;
  /** Peer addresses from the settings, for an instance that knows no peer yet. */
  seeds: readonly string[];
  /** This instance's entry while it takes callers. */
  vouchFor: () => InstanceEntry | null;
  exchangeReports: ReportExchange;
  log: DecisionLog;
}

/** A place between 0 and 1 that differs between most ids. */
const placeOf = (id: string): number =>
  [...id].reduce((place, character) => (place * 31 + character.charCodeAt(0)) % 1009, 7) / 1009;

/**
 * Addresses of the peers to ask in the given round. The one in turn is far from
 * the last one, and another for each asker: with all asking the same, one place
 * further each round, a large fleet would long ask nobody outside its own region.
 */
export const peersToAsk = (
  peers: readonly InstanceEntry[],
  self: InstanceEntry,
  seeds: readonly string[],
  round: number,
): string[] => {
  const others = peers.filter((p) => p.id !== self.id);
  const far = (p: InstanceEntry) => (p.region === self.region ? 0 : 1);
  const ordered = [...others].sort((a, b) => far(a) - far(b)).map((p) => p.peerAddress as string);
  const addresses = ordered.length > 0 ? ordered : seeds.filter((s) => s !== self.peerAddress);
  if (addresses.length === 0) return [];
  const near = addresses[round % Math.min(2, addresses.length)];
  const place = (placeOf(self.id) + round * GOLDEN_SECTION) % 1;
  const inTurn = addresses[Math.floor(place * addresses.length)];
  return [...new Set([near, inTurn])].slice(0, PEERS_ASKED);
};

/** Asks one peer; undefined, and a line in the log, when it has no usable answer. */
const askOne = async (
  { vouchFor, exchangeReports, log }: AskOptions,
  address: string,
  known: StoreMoment,
  timeoutMs: number,
): Promise<PeerAnswer | undefined> => {
  const failed = (reason: string): undefined => {
    log.write('store', undefined, { event: 'peer did not answer', peer: address, reason });
  };
  try {
    const { packed, reports, ...answer } = await peerClient(address, timeoutMs).facts.query({
      ...known,
      asker: vouchFor(),
    });
    if (reports) exchangeReports(address, reports).catch((error: Error) => failed(error.message));
    if (packed === undefined) return answer;
    const list = await unpackFacts(packed);
    return list.isOk() ? { ...answer, list: list.value } : failed(list.error.message);
  } catch (error) {
    return failed((error as Error).message);
  }
};

/** Builds the question that the follower asks while the store is out of reach. */
export const askPeers = (options: AskOptions): PeerQuestion => {
  let round = 0;
  return async (known) => {
    const addresses = peersToAsk(options.peers(), options.self, options.seeds, round);
    round += 1;
    const answers = await Promise.all(
      addresses.map((address) => askOne(options, address, known, PEER_TIMEOUT_MS)),
    );
    return answers.filter((answer): answer is PeerAnswer => answer !== undefined);
  };
};

/**
 * Builds the question of a fresh instance. Only one peer is asked, drawn at
 * random: the store is as near, and waiting for a second one costs more than
 * listing there. A peer that the settings name lists at the store itself, or
 * those that start together would wait for each other.
 */
export const askSnapshot =
  (options: AskOptions, random: () => number): SnapshotQuestion =>
  async () => {
    const { seeds, self } = options;
    if (seeds.length === 0 || seeds.includes(self.peerAddress)) return undefined;
    const address = seeds[Math.floor(random() * seeds.length)];
    const answer = await askOne(options, address, NOTHING_KNOWN, SNAPSHOT_TIMEOUT_MS);
    return answer?.storeReachedForMs === undefined ? undefined : answer.list;
  };
