/**
 * Selects the peer through which an instance that is cut off from all targets serves
 * a request: one that is not cut off, of the own region if there is one. Peers that
 * turned out to be cut off, or did not respond, are avoided for a short time, since
 * registry entries may be seconds old. Peers that are cut off name one that is not, so
 * that it is found at once even if nearly all instances are cut off at the same time.
 */
import type { InstanceEntry } from '@cardamomladder/fleet';
import { highCapacityInstances } from '@cardamomladder/fleet';
import type { InstanceId, RegionName } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import { TargetConnections } from '../targets/connections';
import { IdleLimit } from '../targets/idleLimit';

/** How long a peer that could not serve a request is avoided, ms: about the time in which its registry entry changes. */
const AVOID_MS = 1000;
/** How long a peer that served a request is named to others, ms. */
const SERVED_RECENTLY_MS = 1000;
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

  /** The peer that served a request last, or was named by one that could not. */
  private lastServing: { id: InstanceId; at: number } | undefined;

  constructor(private readonly options: ForwardingPeersOptions) {}

  /** A peer for a request that may run in `homeRegions` (empty for any) and was sent to the peers `tried`. */
  choose(
    homeRegions: readonly RegionName[],
    tried: ReadonlySet<InstanceId>,
  ): ForwardingPeer | undefined {
    if (tried.size >= MAX_PEERS_PER_REQUEST) return undefined;
    const { self, known, now, random } = this.options;
    const usable = [...known()].filter(
      ({ id, region }) =>
        id !== self.id &&
        !tried.has(id) &&
        (this.avoidedUntil.get(id) ?? 0) <= now() &&
        (homeRegions.length === 0 || homeRegions.includes(region)),
    );
    const reaching = usable.filter(({ cutOff }) => !cutOff);
    // An entry may be older than the end of the partition, so one peer is asked all the same.
    const candidates = reaching.length > 0 || tried.size > 0 ? reaching : usable;
    if (candidates.length === 0) return undefined;
    const named = candidates.find(({ id }) => tried.size > 0 && id === this.servingPeer);
    if (named) return this.toPeer(named);
    const nearby = candidates.filter(({ region }) => region === self.region);
    const group = highCapacityInstances(nearby.length > 0 ? nearby : candidates);
    return this.toPeer(group[Math.floor(random() * group.length)]);
  }

  /** A peer that has served requests within the last second, or was said to; undefined if none is known. */
  get servingPeer(): InstanceId | undefined {
    const { lastServing } = this;
    return lastServing && lastServing.at > this.options.now() - SERVED_RECENTLY_MS
      ? lastServing.id
      : undefined;
  }

  /** Records that a peer has served a request, or that another peer says so. */
  recordServing(id: InstanceId): void {
    this.lastServing = { id, at: this.options.now() };
  }

  /** Records that a peer could not serve a request. */
  avoid(id: InstanceId): void {
    this.avoidedUntil.set(id, this.options.now() + AVOID_MS);
    if (this.lastServing?.id === id) this.lastServing = undefined;
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
