/**
 * Asks a few peers for the facts they hold. Nearest first, then others in
 * turn, so that a failure domain cut off as a whole is not asked only inside.
 */
import type { Beliefs, InstanceEntry, PeerAnswer } from '@cardamomladder/fleet';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from './client';

/** Peers asked at a time: one near, one in turn. */
const PEERS_ASKED = 2;
/** How long a peer may take to answer, ms: over two ways between any regions. */
const PEER_TIMEOUT_MS = 400;

/** What asking needs of the instance. */
export interface AskOptions {
  beliefs: Beliefs;
  self: InstanceEntry;
  /** Peer addresses from the settings, for an instance that knows no peer yet. */
  seeds: readonly string[];
  /** This instance's entry while it takes callers. */
  vouchFor: () => InstanceEntry | null;
  log: DecisionLog;
}

/** Addresses of the peers to ask in the given round. */
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
  const next = addresses[round % addresses.length];
  return [...new Set([near, next])].slice(0, PEERS_ASKED);
};

/** Builds the question that the follower asks while the store is out of reach. */
export const askPeers = (options: AskOptions) => {
  let round = 0;
  const ask = async (address: string, revision: number): Promise<PeerAnswer | undefined> => {
    try {
      return await peerClient(address, PEER_TIMEOUT_MS).facts.query({
        revision,
        asker: options.vouchFor(),
      });
    } catch (error) {
      options.log.write('store', undefined, {
        event: 'peer did not answer',
        peer: address,
        reason: (error as Error).message,
      });
      return undefined;
    }
  };
  return async (revision: number): Promise<PeerAnswer[]> => {
    const peers = [...options.beliefs.instances.values()];
    const addresses = peersToAsk(peers, options.self, options.seeds, round);
    round += 1;
    const answers = await Promise.all(addresses.map((address) => ask(address, revision)));
    return answers.filter((answer): answer is PeerAnswer => answer !== undefined);
  };
};
