/**
 * Selects the peer through which an instance that is cut off from all targets serves
 * a request: one that is not cut off, of the own region if there is one. Peers that
 * turned out to be cut off, or did not respond, are avoided for a short time, since
 * registry entries may be seconds old.
 */
import type { InstanceEntry } from '@cardamomladder/fleet';
import { highCapacityInstances } from '@cardamomladder/fleet';
import type { InstanceId, RegionName } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import { TargetConnections } from '../targets/connections';
import { IdleLimit } from '../targets/idleLimit';

/** How long a peer that could not serve a request is avoided, ms: about the time in which its registry entry changes. */
const AVOID_MS = 1000;
/** Maximum number of peers that one request is sent to. */
const MAX_PEERS_PER_REQUEST = 4;
/** Maximum number of connections to one peer. */
const MAX_CONNECTIONS = 256;

/** A peer to which requests are forwarded. */
export interface ForwardingPeer {
  id: InstanceId;
  host: string;
  port: number;
  connections: TargetConnections;
}

/** Dependencies of the selection. */
export interface ForwardingPeersOptions {
  self: Pick<InstanceEntry, 'id' | 'region'>;
  /** The instances known from the registry or seen directly. */
  known: () => Iterable<InstanceEntry>;
  now: () => number;
  random: () => number;
}

/** The peers of one instance, with their connections. */
export class ForwardingPeers {
  private readonly idleLimit = new IdleLimit();

  private readonly connectionsById = new Map<InstanceId, TargetConnections>();

  private readonly avoidedUntil = new Map<InstanceId, number>();

  constructor(private readonly options: ForwardingPeersOptions) {}

  /** A peer for a request that may run in `homeRegions` (empty for any) and was sent to the peers `tried`. */
  choose(
    homeRegions: readonly RegionName[],
    tried: ReadonlySet<InstanceId>,
  ): ForwardingPeer | undefined {
    if (tried.size >= MAX_PEERS_PER_REQUEST) return undefined;
    const { self, known, now, random } = this.options;
    const candidates = [...known()].filter(
      ({ id, region, cutOff }) =>
        id !== self.id &&
        !cutOff &&
        !tried.has(id) &&
        (this.avoidedUntil.get(id) ?? 0) <= now() &&
        (homeRegions.length === 0 || homeRegions.includes(region)),
    );
    if (candidates.length === 0) return undefined;
    const nearby = candidates.filter(({ region }) => region === self.region);
    const group = highCapacityInstances(nearby.length > 0 ? nearby : candidates);
    return this.toPeer(group[Math.floor(random() * group.length)]);
  }

  /** Records that a peer could not serve a request. */
  avoid(id: InstanceId): void {
    this.avoidedUntil.set(id, this.options.now() + AVOID_MS);
  }

  /** Forgets a peer that is no longer registered. */
  remove(id: InstanceId): void {
    this.connectionsById.get(id)?.closeIdleLongerThan(0);
    this.connectionsById.delete(id);
    this.avoidedUntil.delete(id);
  }

  private toPeer({ id, peerAddress }: InstanceEntry): ForwardingPeer {
    const connections =
      this.connectionsById.get(id) ??
      new TargetConnections(MAX_CONNECTIONS, this.options.now, this.idleLimit);
    this.connectionsById.set(id, connections);
    return { id, ...splitAddress(peerAddress), connections };
  }
}
