/**
 * Divides the slots of one service among its claimants while there are too few. The
 * load it answers: one customer or route that sends several times its usual, for which
 * all others would pay, as whoever asks first gets a slot. Without contention it does
 * nothing, and it cuts only what is above a claimant's share.
 */
import murmurhash from 'murmurhash';
import { CapacityEstimate } from './capacityEstimate';
import { Contention } from './contention';
import type { ServiceDemand } from './demand';
import { claimantKey, sumDemand } from './demand';
import { DemandMeter } from './demandMeter';
import type { ClaimantKind } from './fairShares';
import { FairShares } from './fairShares';
import { ShareTurns } from './shareTurns';

/** What another instance states of the service. */
export interface HeardDemand {
  id: string;
  demand: ServiceDemand;
  /** Time since it was measured, ms. */
  ageMs: number;
}

/** One request, as far as its share is concerned. */
export interface ShareRequest {
  route: string;
  /** Empty for callers without a customer. */
  customer: string;
  /** True if its caller was turned away before. */
  returns: boolean;
  /** Time that its caller has left, ms. */
  timeLeftMs: number;
}

/** Why a request is over its claimant's share. Shares, demand and capacity in slots. */
export interface OverShare {
  kind: 'over-share';
  claimant: ClaimantKind;
  share: number;
  wanted: number;
  capacity: number;
  /** Age of the oldest statement that was used, ms. */
  heardAgeMs: number;
  retryAfterMs: number;
}

/** Whether a request may be placed; it is urgent if its claimant is within its share and others are cut. */
export type ShareDecision = { kind: 'within'; urgent: boolean } | OverShare;

/** What the decisions of a service rest on, for the log. Capacity and demand in slots. */
export interface FairnessState {
  contended: boolean;
  capacity: number | undefined;
  /** Totals of the last second of all instances heard and this one. */
  placed: number;
  asked: number;
  full: number;
  wanted: number;
  /** Number of other instances heard. */
  heard: number;
  heardAgeMs: number;
}

/** Options of a service's fairness. */
export interface ServiceFairnessOptions {
  /** A customer's weight, or the mean weight for none. */
  weightOf: (customer: string | undefined) => number;
  /** Id of this instance: claimants' first credits differ between instances. */
  self: string;
}

/** The key of this instance's own work; ids of instances are not empty. */
const OWN_ID = '';
const HASH_RANGE = 2 ** 32;

/** The fairness of one service at one instance. Times in ms. */
export class ServiceFairness {
  readonly meter = new DemandMeter();

  private readonly contention = new Contention();

  private readonly capacity = new CapacityEstimate();

  private readonly turns: ShareTurns;

  private shares: FairShares | undefined;

  private updatedAt = 0;

  private known: Omit<FairnessState, 'contended' | 'capacity'> = {
    placed: 0,
    asked: 0,
    full: 0,
    wanted: 0,
    heard: 0,
    heardAgeMs: 0,
  };

  constructor(private readonly options: ServiceFairnessOptions) {
    this.turns = new ShareTurns(
      (claimant) => murmurhash.v3(`${options.self}\n${claimant}`) / HASH_RANGE,
    );
  }

  /** True while the service has too few slots. */
  get contended(): boolean {
    return this.shares !== undefined;
  }

  get state(): FairnessState {
    return { contended: this.contended, capacity: this.capacity.value, ...this.known };
  }

  /** The demand to be stated to the other instances. */
  demand(now: number): ServiceDemand {
    return this.meter.demand(now, this.contended);
  }

  /** Takes over what the other instances state; returns true if the service became contended or ceased to be. */
  update(heard: readonly HeardDemand[], now: number): boolean {
    const was = this.contended;
    const own = this.meter.demand(now, true);
    const all = [own, ...heard.map(({ demand }) => demand)];
    const sum = sumDemand(all);
    const findsRoom = this.contention.observe(sum, now);
    const isContended = this.contention.isContended(now);
    this.meter.update(now, isContended);
    const wanted = sum.routes.reduce((total, each) => total + each.wanted, 0);
    this.known = {
      placed: sum.placed,
      asked: sum.asked,
      full: sum.full,
      wanted,
      heard: heard.length,
      heardAgeMs: Math.max(0, ...heard.map(({ ageMs }) => ageMs)),
    };
    this.updatedAt = now;
    if (isContended) {
      const placed = [
        { id: OWN_ID, placed: own.placed },
        ...heard.map(({ id, demand }) => ({ id, placed: demand.placed })),
      ];
      const usual = sum.routes.reduce((total, each) => total + each.usual, 0);
      const capacity = this.capacity.update(placed, { wanted, usual }, findsRoom, now);
      this.shares = new FairShares(sum, capacity, this.options.weightOf);
    } else if (was) {
      this.shares = undefined;
      this.capacity.clear();
      this.turns.clear();
    }
    return was !== isContended;
  }

  /** Decides whether a request may be placed, and counts it. */
  decide({ route, customer, returns, timeLeftMs }: ShareRequest, now: number): ShareDecision {
    this.meter.want(route, customer, returns, now);
    const within = (urgent: boolean): ShareDecision => {
      this.meter.ask(now);
      return { kind: 'within', urgent };
    };
    if (!this.shares) return within(false);
    const fraction = this.shares.fraction(route, customer);
    const share = this.shares.of(route, customer);
    if (!share || fraction >= 1) return within(this.shares.cuts);
    const requestsPerSecond = this.meter.requestsPerSecond(route, customer, now);
    const claimant = claimantKey(route, customer);
    const retryAfterMs = this.turns.take(
      { claimant, fraction, requestsPerSecond, returns, timeLeftMs },
      now,
    );
    if (retryAfterMs === 0) return within(fraction > 0.5);
    return {
      kind: 'over-share',
      claimant: share.kind,
      share: share.share,
      wanted: share.wanted,
      capacity: this.shares.capacity,
      heardAgeMs: this.known.heardAgeMs + now - this.updatedAt,
      retryAfterMs,
    };
  }
}
