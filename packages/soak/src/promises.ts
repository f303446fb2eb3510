/**
 * The promises a soak checks, from what callers and targets saw. A violation
 * names the request and what was seen; it never depends on the logs.
 */
import { mostInWindow } from '@cardamomladder/load';
import type { Disturbances } from './disturbances';

/** How often a request may run. */
export type RequestKind = 'idempotent' | 'once';

/** A request as its caller sent it; times on one steady clock, ms. */
export interface Asked {
  id: string;
  kind: RequestKind;
  path: string;
  body: string;
  instance: string;
  /** The process of the instance: what it has shown, another one need not know. */
  incarnation: number;
  at: number;
  /** Its configuration has been in force for long. */
  routed: boolean;
  /** The configuration's version that brought its route; 0: all have it. */
  version: number;
  /** Whose request it is; unset: nobody's in particular. */
  customer?: string;
  /** Whether its key is surely good, or surely taken away, over a span of time. */
  keyState?: (from: number, to: number) => 'good' | 'taken-away' | 'changing';
}

/** What the caller got; status 0: the connection ended without a whole answer. */
export interface Answer {
  status: number;
  at: number;
  /** The id that the answer names. */
  id?: string;
  /** Why the answer's body is not what a target sent, if it is not. */
  spoiled?: string;
}

/** One run as a target saw it. */
export interface RunSeen {
  id: string;
  path: string;
  body: string;
  target: string;
  at: number;
  /** The customer that the target was told. */
  customer?: string;
  /** True when the target was shown the caller's key. */
  keyShown?: boolean;
}

/** A promise that was broken. */
export interface Violation {
  promise: string;
  detail: string;
}

/** The store as a part that can be disturbed. */
export const STORE = 'store';
/** An instance's path to the store as a part that can be disturbed. */
export const storePathOf = (instance: string): string => `store path of ${instance}`;

/** Statuses that say: not run, and never will be. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const OK = 200;
const NOT_FOUND = 404;
const UNAUTHORIZED = 401;

/** The bounds that apply, ms. */
export interface PromiseBounds {
  /** The final answer of a request is due after this. */
  answerMs: number;
  /** A target that left gets nothing after this. */
  leaveMs: number;
}

/** Collects what was seen and finds what breaks a promise. */
export class Promises {
  private readonly asked = new Map<string, Asked>();

  private readonly answers = new Map<string, Answer>();

  private readonly runs = new Map<string, RunSeen[]>();

  private readonly leftAt = new Map<string, number>();

  /** The newest version whose route each process has served, and since when. */
  private readonly shown = new Map<number, { version: number; at: number }>();

  private readonly found = new Map<string, Violation>();

  constructor(
    private readonly disturbances: Disturbances,
    private readonly bounds: PromiseBounds,
  ) {}

  /** Requests asked and answered with success so far. */
  get counts(): { asked: number; served: number } {
    const served = [...this.answers.values()].filter((a) => a.status === 200).length;
    return { asked: this.asked.size, served };
  }

  /** What was broken so far. */
  get violations(): Violation[] {
    return [...this.found.values()];
  }

  /** How a request was answered; undefined when it was not. */
  statusOf(id: string): number | undefined {
    return this.answers.get(id)?.status;
  }

  /** A request as its caller sent it. */
  askedOf(id: string): Asked | undefined {
    return this.asked.get(id);
  }

  /** Takes a request as it is sent. */
  ask(asked: Asked): void {
    this.asked.set(asked.id, asked);
  }

  /** Notes that a target's leaving, or its domain's evacuation, was acknowledged. */
  leave(target: string, at: number): void {
    this.leftAt.set(target, at);
  }

  /** Notes that the evacuation of a target's domain was taken back. */
  rejoin(target: string): void {
    this.leftAt.delete(target);
  }

  /** Takes a caller's answer and checks it. */
  answer(id: string, answer: Answer): void {
    const asked = this.asked.get(id);
    if (!asked) return;
    this.answers.set(id, answer);
    if (answer.status === 200 && (answer.spoiled || answer.id !== id))
      this.break('mixed', id, answer.spoiled ?? `the answer names ${answer.id}`);
    const calm = this.disturbances.calm([asked.instance], asked.at, answer.at);
    if (answer.status === NOT_FOUND && asked.routed && this.informed(asked, asked.at, answer.at))
      this.break('configuration', id, `${asked.path} is not found`);
    this.checkVersion(asked, answer);
    this.checkKey(asked, answer);
    if (calm && answer.at - asked.at > this.bounds.answerMs)
      this.break('late', id, `answered after ${Math.round(answer.at - asked.at)} ms`);
    this.checkOutcome(asked);
  }

  /** Takes a run at a target and checks it. */
  run(run: RunSeen): void {
    const asked = this.asked.get(run.id);
    if (!asked) {
      this.break('unasked', run.id, `ran at ${run.target}`);
      return;
    }
    const runs = [...(this.runs.get(run.id) ?? []), run];
    this.runs.set(run.id, runs);
    if (asked.path !== run.path || asked.body !== run.body)
      this.break('unasked', run.id, `ran as ${run.path} with another path or body`);
    if (asked.customer !== run.customer || run.keyShown)
      this.break(
        'unasked',
        run.id,
        `ran as ${run.customer}, not ${asked.customer}, or with its key`,
      );
    if (asked.kind === 'once' && runs.length > 1)
      this.break('twice', run.id, `ran at ${runs.map((r) => r.target).join(' and ')}`);
    const left = this.leftAt.get(run.target) ?? Infinity;
    const late = Math.min(run.at, asked.at) - left > this.bounds.leaveMs;
    if (late && this.informed(asked, left, run.at))
      this.break(
        'leaving',
        run.id,
        `ran at ${run.target} ${Math.round(run.at - left)} ms after it left`,
      );
    this.checkOutcome(asked);
  }

  /** Checks that no window has more than `most` requests of a customer that ran. */
  checkLimit(customer: string, most: number, windowMs: number): void {
    const ran = [...this.runs.values()]
      .filter(([first]) => first.customer === customer)
      .map((all) => Math.min(...all.map(({ at }) => at)))
      .sort((a, b) => a - b);
    const count = mostInWindow(ran, windowMs);
    if (count > most) this.break('limit', customer, `${count} requests in a window, not ${most}`);
  }

  /** Notes a broken promise; each counts once per subject. */
  break(promise: string, subject: string, detail: string): void {
    this.found.set(`${promise} ${subject}`, { promise, detail: `${subject}: ${detail}` });
  }

  /** A process that has shown a version never goes back, whatever disturbs it. */
  private checkVersion({ id, incarnation, version, at }: Asked, answer: Answer): void {
    if (version === 0) return;
    const shown = this.shown.get(incarnation);
    if (answer.status === 200 && version > (shown?.version ?? 0))
      this.shown.set(incarnation, { version, at: answer.at });
    if (answer.status === NOT_FOUND && shown && version <= shown.version && at > shown.at)
      this.break('reverted', id, `no route of version ${version} after ${shown.version} was shown`);
  }

  /** A key holds, and is gone, within its time, at instances that could know. */
  private checkKey(asked: Asked, { status, at }: Answer): void {
    const state = asked.keyState?.(asked.at, at) ?? 'changing';
    if (state === 'changing' || !this.informed(asked, asked.at, at)) return;
    if (state === 'good' && status === UNAUTHORIZED)
      this.break('key', asked.id, 'refused, though its key is good');
    if (state === 'taken-away' && status === OK)
      this.break('key', asked.id, 'served, though its key was taken away');
  }

  /** True when the instance could know what the store said all the while. */
  private informed({ instance }: Asked, from: number, to: number): boolean {
    return this.disturbances.calm([instance, storePathOf(instance), STORE], from, to);
  }

  /** Checks what only answer and run together show; called with whichever comes last. */
  private checkOutcome(asked: Asked): void {
    const answer = this.answers.get(asked.id);
    const run = this.runs.get(asked.id)?.at(-1);
    if (!answer || !run) return;
    if (asked.kind === 'once' && NOT_RUN.has(answer.status))
      this.break('refused', asked.id, `answered ${answer.status} and ran`);
    // A request that crosses the instance's close is not passed on; one that
    // was passed on to a sound target is owed an answer, also in a planned stop.
    const calm = this.disturbances.calm([asked.instance, run.target], asked.at, answer.at);
    if (answer.status === 0 && calm) this.break('lost', asked.id, `ran at ${run.target}`);
  }
}
