/**
 * What instances owe a target that says something of itself in its answers.
 * An instance is bound from when a caller got such an answer from it; one that
 * was disturbed since is not held to it.
 */
import { mostInWindow } from '@cardamomladder/load';
import type { Disturbances } from './disturbances';
import type { Asked } from './promises';

/** One request as it arrived at a target. */
interface Arrival extends Pick<Asked, 'id' | 'instance' | 'incarnation'> {
  askedAt: number;
  at: number;
}

/** A request that a target turned away, with a pause that it asked for. */
interface Pause extends Pick<Asked, 'instance' | 'incarnation'> {
  from: number;
  to: number;
}

/** A limit that a target names for a while, in requests per second. */
interface NamedSpan {
  perSecond: number;
  from: number;
  to: number;
}

/** A limit binds this long after it was first named, ms. */
const LIMIT_BINDS_MS = 3000;
/** An instance counts from this long after it was told, ms. */
const TOLD_MS = 500;
const WINDOW_MS = 4000;
/** In a window: half more than the limit allows, and five. */
const tolerated = (perSecond: number): number => (perSecond * WINDOW_MS * 1.5) / 1000 + 5;

/** A request that its caller sent later than this after its instance was told must not reach a leaving target, ms. */
const LEAVES_WITHIN_MS = 2500;

/** One process and one target. */
const keyOf = ({ incarnation }: Pick<Asked, 'incarnation'>, target: string): string =>
  `${incarnation}|${target}`;

const noteFirst = (told: Map<string, number>, asked: Asked, target: string, at: number): void => {
  const key = keyOf(asked, target);
  if (!told.has(key)) told.set(key, at);
};

/** Requests that were under way when a target asked for a pause have arrived after this, ms. */
const UNDER_WAY_MS = 500;
/** Requests of a process that may reach a target in a pause nevertheless. */
const IN_PAUSE_MOST = 2;

/** Collects what targets said and what reached them. */
export class SelfReports {
  private readonly arrivals = new Map<string, Arrival[]>();

  private readonly limits = new Map<string, NamedSpan[]>();

  private readonly pauses = new Map<string, Pause[]>();

  /** When each process was first told of each target's limit. */
  private readonly toldLimit = new Map<string, number>();

  /** When each process was first told that a target leaves. */
  private readonly toldLeaving = new Map<string, number>();

  constructor(
    private readonly disturbances: Disturbances,
    private readonly report: (promise: string, subject: string, detail: string) => void,
  ) {}

  /** A target names a limit; returns how to end that. */
  nameLimit(target: string, perSecond: number, at: number): (endedAt: number) => void {
    const span = { perSecond, from: at, to: Infinity };
    this.limits.set(target, [...(this.limits.get(target) ?? []), span]);
    return (endedAt) => {
      span.to = endedAt;
    };
  }

  /** A caller got an answer in which the target names a limit. */
  hearLimit(target: string, asked: Asked, at: number): void {
    noteFirst(this.toldLimit, asked, target, at);
  }

  /** A caller got an answer in which the target says that it leaves. */
  hearLeaving(target: string, asked: Asked, at: number): void {
    noteFirst(this.toldLeaving, asked, target, at);
  }

  /** A target turned a request away and wants nothing from its instance for so long, ms. */
  askForPause(target: string, { instance, incarnation }: Asked, at: number, forMs: number): void {
    const pauses = this.pauses.get(target) ?? [];
    pauses.push({ instance, incarnation, from: at + UNDER_WAY_MS, to: at + forMs });
    this.pauses.set(target, pauses);
  }

  /** A request arrived at a target. */
  arrive(target: string, { id, instance, incarnation, at: askedAt }: Asked, at: number): void {
    const arrivals = this.arrivals.get(target) ?? [];
    arrivals.push({ id, instance, incarnation, askedAt, at });
    this.arrivals.set(target, arrivals);
  }

  /** Looks through all that was collected. */
  check(): void {
    this.limits.forEach((spans, target) => spans.forEach((span) => this.checkLimit(target, span)));
    this.arrivals.forEach((arrivals, target) =>
      arrivals.forEach((arrival) => this.checkLeaving(target, arrival)),
    );
    this.pauses.forEach((pauses, target) =>
      pauses.forEach((pause) => this.checkPause(target, pause)),
    );
  }

  private checkPause(target: string, { instance, incarnation, from, to }: Pause): void {
    const most = (this.arrivals.get(target) ?? []).filter(
      (arrival) => arrival.incarnation === incarnation && arrival.at > from && arrival.at < to,
    ).length;
    // A path to the target that holds requests up brings them late.
    if (most > IN_PAUSE_MOST && this.disturbances.calm([instance, target], from, to))
      this.report('target-pause', target, `${most} requests of ${instance} in a pause`);
  }

  private checkLeaving(target: string, arrival: Arrival): void {
    const { id, instance, askedAt, at } = arrival;
    const toldAt = this.toldLeaving.get(keyOf(arrival, target)) ?? Infinity;
    if (askedAt - toldAt <= LEAVES_WITHIN_MS || !this.disturbances.calm([instance], toldAt, at))
      return;
    const afterMs = Math.round(askedAt - toldAt);
    this.report('target-leaving', id, `sent ${afterMs} ms after its instance knew, to ${target}`);
  }

  private checkLimit(target: string, { perSecond, from, to }: NamedSpan): void {
    const counted = (this.arrivals.get(target) ?? []).filter((arrival) => {
      const toldAt = this.toldLimit.get(keyOf(arrival, target)) ?? Infinity;
      return (
        arrival.at >= Math.max(from + LIMIT_BINDS_MS, toldAt + TOLD_MS) &&
        arrival.at <= to &&
        this.disturbances.calm([arrival.instance], toldAt, arrival.at)
      );
    });
    const times = counted.map(({ at }) => at);
    const most = mostInWindow(times, WINDOW_MS);
    if (most > tolerated(perSecond))
      this.report('target-limit', target, `${most} requests in 4 s at ${perSecond} a second`);
  }
}
