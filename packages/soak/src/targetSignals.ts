/**
 * Checks that instances respect the signals in targets' response headers: a
 * rate limit, leaving, a requested pause. An instance must respect a limit or
 * leaving once a caller received such a response through it, unless a fault
 * affected the instance since.
 */
import { maxInWindow } from '@cardamomladder/load';
import type { FaultHistory } from './faultHistory';
import type { SentRequest } from './guarantees';

/** A request that arrived at a target. */
interface Arrival extends Pick<SentRequest, 'id' | 'instance' | 'incarnation'> {
  sentAt: number;
  at: number;
}

/** The interval in which an instance whose request was refused must pause. */
interface PauseInterval extends Pick<SentRequest, 'instance' | 'incarnation'> {
  from: number;
  to: number;
}

/** A rate limit that a target advertises for a while, in requests per second. */
interface AnnouncedLimit {
  perSecond: number;
  from: number;
  to: number;
}

/** A limit is enforced this long after it is first advertised, ms. */
const LIMIT_GRACE_MS = 3000;
/** An instance's requests count from this long after it received the limit, ms. */
const INSTANCE_REACTION_MS = 500;
const WINDOW_MS = 4000;
/** The maximum in a window: the limit plus 50%, plus 5 requests. */
const maxTolerated = (perSecond: number): number => (perSecond * WINDOW_MS * 1.5) / 1000 + 5;

/** A request sent later than this after its instance learned that a target leaves must not reach the target, ms. */
const LEAVING_REACTION_MS = 2500;

/** Identifies a process and a target. */
const keyOf = ({ incarnation }: Pick<SentRequest, 'incarnation'>, target: string): string =>
  `${incarnation}|${target}`;

const recordFirst = (
  firstTimes: Map<string, number>,
  request: SentRequest,
  target: string,
  at: number,
): void => {
  const key = keyOf(request, target);
  if (!firstTimes.has(key)) firstTimes.set(key, at);
};

/** Requests in flight when a target asked for a pause have arrived by then, ms. */
const IN_FLIGHT_MS = 500;
/** How many requests of a process may still reach a target during a pause. */
const MAX_DURING_PAUSE = 2;

/** Collects the signals of targets and the requests that arrived at them. */
export class TargetSignalChecker {
  private readonly arrivals = new Map<string, Arrival[]>();

  private readonly limits = new Map<string, AnnouncedLimit[]>();

  private readonly pauses = new Map<string, PauseInterval[]>();

  /** When each process first received each target's limit. */
  private readonly limitSeenAt = new Map<string, number>();

  /** When each process first learned that a target leaves. */
  private readonly leavingSeenAt = new Map<string, number>();

  constructor(
    private readonly faultHistory: FaultHistory,
    private readonly report: (guarantee: string, subject: string, detail: string) => void,
  ) {}

  /** Records that a target advertises a limit; returns a function that records the end. */
  announceLimit(target: string, perSecond: number, at: number): (endedAt: number) => void {
    const announced = { perSecond, from: at, to: Infinity };
    this.limits.set(target, [...(this.limits.get(target) ?? []), announced]);
    return (endedAt) => {
      announced.to = endedAt;
    };
  }

  /** Records that a caller received a response with a limit. */
  recordLimitSeen(target: string, request: SentRequest, at: number): void {
    recordFirst(this.limitSeenAt, request, target, at);
  }

  /** Records that a caller received a response that says that the target leaves. */
  recordLeavingSeen(target: string, request: SentRequest, at: number): void {
    recordFirst(this.leavingSeenAt, request, target, at);
  }

  /** Records that a target refused a request and asked its instance to pause for `forMs`. */
  recordPause(
    target: string,
    { instance, incarnation }: SentRequest,
    at: number,
    forMs: number,
  ): void {
    const pauses = this.pauses.get(target) ?? [];
    pauses.push({ instance, incarnation, from: at + IN_FLIGHT_MS, to: at + forMs });
    this.pauses.set(target, pauses);
  }

  recordArrival(
    target: string,
    { id, instance, incarnation, at: sentAt }: SentRequest,
    at: number,
  ): void {
    const arrivals = this.arrivals.get(target) ?? [];
    arrivals.push({ id, instance, incarnation, sentAt, at });
    this.arrivals.set(target, arrivals);
  }

  /** Checks everything that was collected. */
  check(): void {
    this.limits.forEach((announcements, target) =>
      announcements.forEach((announced) => this.checkLimit(target, announced)),
    );
    this.arrivals.forEach((arrivals, target) =>
      arrivals.forEach((arrival) => this.checkLeaving(target, arrival)),
    );
    this.pauses.forEach((pauses, target) =>
      pauses.forEach((pause) => this.checkPause(target, pause)),
    );
  }

  private checkPause(target: string, { instance, incarnation, from, to }: PauseInterval): void {
    const count = (this.arrivals.get(target) ?? []).filter(
      (arrival) => arrival.incarnation === incarnation && arrival.at > from && arrival.at < to,
    ).length;
    // A fault on the path to the target may delay requests into the pause.
    if (count > MAX_DURING_PAUSE && this.faultHistory.unaffected([instance, target], from, to))
      this.report(
        'target-pause',
        target,
        `${count} requests of ${instance} during a requested pause`,
      );
  }

  private checkLeaving(target: string, arrival: Arrival): void {
    const { id, instance, sentAt, at } = arrival;
    const learnedAt = this.leavingSeenAt.get(keyOf(arrival, target)) ?? Infinity;
    if (
      sentAt - learnedAt <= LEAVING_REACTION_MS ||
      !this.faultHistory.unaffected([instance], learnedAt, at)
    )
      return;
    const afterMs = Math.round(sentAt - learnedAt);
    this.report(
      'target-leaving',
      id,
      `sent to ${target} ${afterMs} ms after its instance learned of the leaving`,
    );
  }

  private checkLimit(target: string, { perSecond, from, to }: AnnouncedLimit): void {
    const countedArrivals = (this.arrivals.get(target) ?? []).filter((arrival) => {
      const learnedAt = this.limitSeenAt.get(keyOf(arrival, target)) ?? Infinity;
      return (
        arrival.at >= Math.max(from + LIMIT_GRACE_MS, learnedAt + INSTANCE_REACTION_MS) &&
        arrival.at <= to &&
        this.faultHistory.unaffected([arrival.instance], learnedAt, arrival.at)
      );
    });
    const times = countedArrivals.map(({ at }) => at);
    const count = maxInWindow(times, WINDOW_MS);
    if (count > maxTolerated(perSecond))
      this.report(
        'target-limit',
        target,
        `${count} requests in 4 s with a limit of ${perSecond} per second`,
      );
  }
}
