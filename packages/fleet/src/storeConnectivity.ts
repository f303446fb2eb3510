/**
 * Tracks whether the store is reachable, directly or through a relay: when an
 * outage started, when to query peers, and whether leases may have expired.
 */
import type { Subscription } from 'rxjs';
import { BehaviorSubject, timer } from 'rxjs';
import type { InstanceEntry, StoreFailure } from './records';
import { REMOVAL_DEFERRAL_MS } from './deferredRemovals';

/** Interval between peer queries while the store is unreachable, ms. Rounds may overlap: they hold positions only, records are transferred apart. */
const PEER_QUERY_INTERVAL_MS = 300;
/** Minimum outage that may let entries expire, ms: the shortest registration TTL outlasts shorter ones. */
const MIN_LAPSE_OUTAGE_MS = 900;
/** Represents "never" in responses to peers, ms: JSON cannot encode `Infinity`, and the resulting `null` would be read as "just now". */
const NEVER_RESPONDED_MS = Number.MAX_SAFE_INTEGER;

/** Connection status of the store: whether it is reached, since when, and why. */
export interface StoreStatus {
  reached: boolean;
  since: number;
  reason: string;
  /** The relay through which the store is followed; undefined if it is watched directly. */
  through?: InstanceEntry;
}

/** Callbacks provided by the follower. Times are monotonic, ms. */
export interface StoreConnectivityOptions {
  now: () => number;
  /** Runs one round of peer queries; handles and logs its own failures. */
  queryPeers: () => Promise<void>;
  /** Called when entries may have expired during an outage, so that removals are deferred. */
  onPossibleLapse: () => void;
}

/** The store's reachability as seen by this instance. */
export class StoreConnectivity {
  readonly status: BehaviorSubject<StoreStatus>;

  /** Whether a peer stayed connected to the store for the whole outage. */
  peerStayedConnected = false;

  /** Whether a peer has been connected to the store long enough to have received rewritten entries. */
  private peerFollowsStore = false;

  /** When a relay failed, possibly because of the store; undefined once the store has responded after that. */
  private suspectedSince: number | undefined;

  /** When the store last responded to this instance directly. */
  private lastResponseAt: number | undefined;

  private peerQueries: Subscription | undefined;

  constructor(private readonly options: StoreConnectivityOptions) {
    this.status = new BehaviorSubject<StoreStatus>({
      reached: false,
      since: options.now(),
      reason: 'not asked yet',
    });
  }

  /** Whether the store is reachable and no failure is suspected. */
  get isHealthy(): boolean {
    return this.suspectedSince === undefined && this.status.value.reached;
  }

  /** Whether a relay failure may have been caused by the store. */
  get isSuspected(): boolean {
    return this.suspectedSince !== undefined;
  }

  /** Whether this instance receives store changes, directly or through a peer. */
  get isStoreFollowed(): boolean {
    return this.status.value.reached || this.peerFollowsStore;
  }

  /** Duration of the current outage, ms. */
  get outageMs(): number {
    return this.options.now() - this.status.value.since;
  }

  /** Time since the store last responded to this instance directly, ms. */
  get lastResponseAgeMs(): number {
    return this.lastResponseAt === undefined
      ? NEVER_RESPONDED_MS
      : this.options.now() - this.lastResponseAt;
  }

  /**
   * Updates the status from one round of peer queries; the values are how long
   * each peer has been connected to the store, ms. Only the latest round counts,
   * and only peers connected for the whole outage: a peer that has not detected
   * the outage yet, or has just reconnected, knows no more about expired entries
   * than this instance.
   */
  updatePeerReach(reachedForMs: readonly number[]): void {
    const longestReachMs = Math.max(0, ...reachedForMs);
    this.peerStayedConnected = longestReachMs > this.outageMs;
    this.peerFollowsStore = longestReachMs > REMOVAL_DEFERRAL_MS;
  }

  /** Records a relay failure that the store may have caused. */
  suspect(): void {
    this.suspectedSince ??= this.options.now();
  }

  /** Whether the store responded after the suspected failure, given that its last response was `lastResponseAgeMs` before `askedAt`. */
  respondedSinceSuspicion(askedAt: number, lastResponseAgeMs: number): boolean {
    return lastResponseAgeMs < askedAt - (this.suspectedSince ?? -Infinity);
  }

  /** Marks the store as unreachable and queries peers until it is reachable again. */
  lost(failure: StoreFailure): void {
    if (!this.status.value.reached && this.peerQueries) return;
    this.peerStayedConnected = false;
    this.peerFollowsStore = false;
    const since = this.suspectedSince ?? this.options.now();
    this.status.next({ reached: false, since, reason: failure.message });
    this.peerQueries = timer(0, PEER_QUERY_INTERVAL_MS).subscribe(() => {
      this.options.queryPeers().catch(() => {
        // Peer queries handle and log their own failures; a rejection here
        // only means that this round had no result.
      });
    });
  }

  /** Marks the store as reachable, directly or through a relay. */
  markReachable(): void {
    this.suspectedSince = undefined;
    if (this.status.value.reached) return;
    this.stopQueryingPeers();
    if (this.outageMs > MIN_LAPSE_OUTAGE_MS && !this.peerStayedConnected)
      this.options.onPossibleLapse();
    this.status.next({ reached: true, since: this.options.now(), reason: 'answered' });
  }

  /** Records that the store responded to this instance directly. */
  answered(): void {
    this.lastResponseAt = this.options.now();
    this.markReachable();
  }

  /** Sets the relay through which the store is followed; undefined for a direct watch. */
  setRelay(through: InstanceEntry | undefined): void {
    const { value } = this.status;
    if (!value.reached || value.through?.id === through?.id) return;
    const reason = through ? 'followed through a peer' : 'watched directly';
    this.status.next({ ...value, reason, through });
  }

  stopQueryingPeers(): void {
    this.peerQueries?.unsubscribe();
    this.peerQueries = undefined;
  }
}
