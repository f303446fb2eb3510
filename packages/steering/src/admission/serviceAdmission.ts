/**
 * Decides which requests of one service wait at this instance for a slot, in which
 * order they get one, and when those that are refused come back.
 *
 * The load it answers: for some seconds more is asked than the targets take, while
 * slots free up every few milliseconds. Whoever asked just before a slot is free is
 * refused, and comes back a quarter of a second later or not at all. A wait is entered
 * only if the rate of the last second lets it end within a small share of the objective;
 * so a caller that is refused after it can still be answered within its objective.
 */
import { SlidingWindowCounter } from '../placement/slidingWindowCounter';
import type { OrderedRequest } from './order';
import { goesBefore } from './order';
import type { Turn } from './turns';
import { Turns } from './turns';

/** Over how long the rate of placements is measured, ms. */
const RATE_WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;
/** Smoothing weight of the newest response time. */
const RESPONSE_WEIGHT = 0.05;
/** Maximum number of waiting requests of a service. */
export const MAX_WAITING = 128;

/** A request that place() found no slot for. Times on the monotonic clock, ms. */
export interface AdmissionRequest extends Omit<OrderedRequest, 'objectiveMs'> {
  /** Unset if its route has no objective; it never waits then. */
  objectiveMs?: number;
  deadlineAt: number;
  /** Time since its caller first asked, ms, as far as it is known. */
  waitedMs: number;
}

/** What decides the turn of a refused caller. */
export type RefusedRequest = Pick<AdmissionRequest, 'firstAskedAt' | 'objectiveMs' | 'deadlineAt'>;

/** Whether a request waits, and until when at most. */
export interface Judgement {
  kind: 'wait' | 'refuse';
  /** Number of requests before it in the order. */
  ahead: number;
  /** Expected wait; Infinity if nothing was placed lately. */
  expectedMs: number;
  until: number;
}

/** A waiting request with what the caller of this module attaches to it. */
export interface Waiting<T> {
  item: T;
  order: OrderedRequest;
}

/** Waiting requests, placements and turns of one service at one instance. */
export class ServiceAdmission<T> {
  readonly turns = new Turns();

  private readonly placements = new SlidingWindowCounter(RATE_WINDOW_MS);

  private responseMs: number | undefined;

  /** Smoothed deviation of response times from the usual one, ms. */
  private deviationMs = 0;

  private waiting: Waiting<T>[] = [];

  /** `maxWaitShare` is the longest wait as a share of the route's objective. */
  constructor(private readonly maxWaitShare: number) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.waiting.length;
  }

  /** The usual response time with its deviation, within which most are answered, ms; 0 before the first. */
  get usualMs(): number {
    return (this.responseMs ?? 0) + this.deviationMs;
  }

  /** Counts a waiting or new request that was placed. */
  recordPlacement(now: number): void {
    this.placements.add(now);
  }

  /** Records the time from a send to its response, ms. */
  recordResponse(ms: number): void {
    this.responseMs ??= ms;
    this.deviationMs += RESPONSE_WEIGHT * (Math.abs(ms - this.responseMs) - this.deviationMs);
    this.responseMs += RESPONSE_WEIGHT * (ms - this.responseMs);
  }

  /** Interval at which requests are placed, ms; Infinity if none was lately. */
  spacingMs(now: number): number {
    return MS_PER_SECOND / ((this.placements.total(now) * MS_PER_SECOND) / RATE_WINDOW_MS);
  }

  /** Decides whether a request that found no slot waits for one. */
  judge(request: AdmissionRequest, now: number): Judgement {
    const { objectiveMs = 0, waitedMs, deadlineAt } = request;
    const order = { ...request, objectiveMs };
    const ahead = this.waiting.filter((each) => !goesBefore(order, each.order)).length;
    const spacingMs = this.spacingMs(now);
    const expectedMs = Number.isFinite(spacingMs) ? ahead * spacingMs : Infinity;
    const objectiveLeftMs = waitedMs < objectiveMs ? objectiveMs - waitedMs : Infinity;
    const leftMs = Math.min(objectiveLeftMs, deadlineAt - now);
    const maxMs = Math.min(this.maxWaitShare * objectiveMs, leftMs - this.usualMs);
    const waits = maxMs > 0 && expectedMs <= maxMs && this.waiting.length < MAX_WAITING;
    return { kind: waits ? 'wait' : 'refuse', ahead, expectedMs, until: now + Math.max(0, maxMs) };
  }

  /** Adds a request to those that wait; the returned function removes it. */
  add(item: T, { objectiveMs = 0, ...request }: AdmissionRequest): () => void {
    const entry = { item, order: { ...request, objectiveMs } };
    const index = this.waiting.findIndex((each) => goesBefore(entry.order, each.order));
    this.waiting.splice(index === -1 ? this.waiting.length : index, 0, entry);
    return () => {
      this.waiting = this.waiting.filter((each) => each !== entry);
    };
  }

  /** Offers the free slots to those that wait, in order; `take` returns true if a request waits no longer. */
  offer(take: (item: T) => boolean): void {
    const gone = new Set(this.waiting.filter(({ item }) => take(item)));
    if (gone.size > 0) this.waiting = this.waiting.filter((each) => !gone.has(each));
  }

  /** Gives a refused caller its turn. */
  refuse({ firstAskedAt, objectiveMs, deadlineAt }: RefusedRequest, now: number): Turn {
    return this.turns.give({
      now,
      deadlineAt,
      objectiveAt: objectiveMs === undefined ? undefined : firstAskedAt + objectiveMs,
      usualMs: this.usualMs,
      spacingMs: this.spacingMs(now),
      waiting: this.waiting.length,
    });
  }
}
