/**
 * Plays a fleet against requests that crash what runs them, in virtual time:
 * what the instances' quarantines, each with what it has heard so far, let
 * through and turn away.
 */
import type { AskedRequest, TargetRun } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId, targetRun } from '@cardamomladder/types';
import type { CrashPlayReport, PlayedCrashes } from './crashOptions';
import { EventQueue } from './eventQueue';
import { seeded } from './play';
import type { PlayedInstance } from './playedFleet';
import { PlayedFleet } from './playedFleet';

const MS_PER_SECOND = 1000;
/** Usual work of a request, ms, and how far it spreads. */
const WORK_MS = 480;
const WORK_SPREAD = 0.3;
/** A request that crashes its target has run for this long by then, ms. */
const CRASH_AFTER_MS = 90;
/** From a crash to the target's next run, ms. */
const BACK_AFTER_MS = 3000;
/** From a crash until the instances that had requests there know it for one, ms: the settling and a refused connection to any region. */
const SEEN_AFTER_MS = { least: 12, most: 55 };
/** Targets that one attempt is sent to, and attempts of a caller. */
const SENDS_MOST = 2;
const ATTEMPTS_MOST = 2;
/** Pause of a caller before its next attempt, ms, and of one that does not wait as told. */
const RETRY_AFTER_MS = 150;
const ABUSE_AFTER_MS = 10;
/** From three crashes on the fleet may take this long to agree, ms. */
const AGREED_WITHIN_MS = 3000;
const CRASHES_ENOUGH = 3;

interface Target {
  run: TargetRun;
  up: boolean;
  /** How each request that is under way ends when the target does. */
  underWay: Set<(crashed: boolean) => void>;
}

interface Request {
  asked: AskedRequest;
  /** Runs of a crashing request; undefined for an ordinary one. */
  runs: { at: number; inTouch: boolean }[] | undefined;
  crashTimes: number[];
}

/** One play. */
class CrashPlay {
  private readonly events = new EventQueue();

  private readonly random: () => number;

  private readonly fleet: PlayedFleet;

  private readonly targets: Target[];

  private readonly report: CrashPlayReport = {
    ordinary: 0,
    served: 0,
    turnedAway: 0,
    crashes: 0,
    sentMore: 0,
  };

  private named = 0;

  constructor(private readonly options: PlayedCrashes) {
    this.random = seeded(options.seed);
    this.fleet = new PlayedFleet(options.instances, this.events, this.random);
    this.targets = Array.from({ length: options.targets }, () => this.startTarget());
  }

  play(): CrashPlayReport {
    const { rate, lengthMs, crashing = [], restartsAtMs = [], restores = [], apart } = this.options;
    this.arrive(rate, 0, () => this.send(this.ordinaryRequest(), 1));
    const requests = crashing.map(({ perSecond, fromMs, callers }) => {
      const request = this.crashingRequest();
      this.arrive(perSecond, fromMs, () => {
        const caller = callerDigest(`caller-${Math.floor(this.random() * callers)}`);
        this.send({ ...request, asked: { ...request.asked, caller } }, 1);
      });
      return request;
    });
    this.planLosses();
    restartsAtMs.forEach((at) => this.events.after(at, () => this.fleet.restart()));
    restores.forEach(({ atMs, lostMs }) =>
      this.events.after(atMs, () => this.fleet.restore(lostMs)),
    );
    if (apart) this.fleet.planCut(apart);
    this.events.play(lengthMs);
    this.report.sentMore = Math.max(0, ...requests.map((request) => this.sentMoreOf(request)));
    return this.report;
  }

  private planLosses(): void {
    const { massCrashes = [], powerLosses = [] } = this.options;
    const strike = (share: number, seen: boolean) =>
      this.targets.filter(() => this.random() < share).forEach((target) => this.end(target, seen));
    massCrashes.forEach(({ atMs, share }) => this.events.after(atMs, () => strike(share, true)));
    powerLosses.forEach(({ atMs, share }) => this.events.after(atMs, () => strike(share, false)));
  }

  private startTarget(): Target {
    this.named += 1;
    const run = targetRun(targetId(`t-${this.named}`), undefined);
    return { run, up: true, underWay: new Set() };
  }

  private arrive(perSecond: number, fromMs: number, act: () => void): void {
    const next = () =>
      this.events.after((-Math.log(1 - this.random()) / perSecond) * MS_PER_SECOND, () => {
        act();
        next();
      });
    this.events.after(fromMs, next);
  }

  private ordinaryRequest(): Request {
    this.named += 1;
    this.report.ordinary += 1;
    const isPopular = this.random() < (this.options.popular ?? 0);
    return {
      asked: {
        request: requestDigest(isPopular ? 'popular' : `r-${this.named}`),
        caller: callerDigest(`c-${this.named}`),
      },
      runs: undefined,
      crashTimes: [],
    };
  }

  private crashingRequest(): Request {
    this.named += 1;
    const request = requestDigest(`crashing-${this.named}`);
    return { asked: { request, caller: callerDigest('c') }, runs: [], crashTimes: [] };
  }

  private pick<T>(all: readonly T[]): T {
    return all[Math.floor(this.random() * all.length)];
  }

  private between({ least, most }: { least: number; most: number }): number {
    return least + (most - least) * this.random();
  }

  /** One attempt of a caller, at any instance. */
  private send(request: Request, attempt: number): void {
    const instance = this.pick(this.fleet.instances);
    if (this.holds(instance, request)) {
      if (!request.runs) this.report.turnedAway += 1;
      return;
    }
    this.sendOn(instance, request, attempt, 1);
  }

  private holds({ quarantine }: PlayedInstance, { asked }: Request): boolean {
    return this.options.quarantined !== false && quarantine.holds(asked);
  }

  private sendOn(instance: PlayedInstance, request: Request, attempt: number, sends: number): void {
    const up = this.targets.filter((target) => target.up);
    if (up.length === 0) return;
    const target = this.pick(up);
    request.runs?.push({ at: this.events.now, inTouch: !instance.apart });
    const end = (crashed: boolean) => {
      if (!target.underWay.delete(end)) return;
      if (crashed) this.closed(instance, request, target.run, attempt, sends);
      else this.answered(instance, request);
    };
    target.underWay.add(end);
    if (request.runs) {
      this.events.after(CRASH_AFTER_MS, () => {
        if (!target.underWay.has(end)) return;
        request.crashTimes.push(this.events.now);
        this.end(target, true);
      });
      return;
    }
    const workMs = WORK_MS * (1 - WORK_SPREAD + 2 * WORK_SPREAD * this.random());
    this.events.after(workMs, () => end(false));
  }

  /** Ends a target: its connections close, or it falls silent. */
  private end(target: Target, seen: boolean): void {
    if (!target.up) return;
    Object.assign(target, { up: false });
    this.report.crashes += 1;
    if (seen) [...target.underWay].forEach((end) => end(true));
    target.underWay.clear();
    this.events.after(BACK_AFTER_MS, () => Object.assign(target, this.startTarget()));
  }

  private answered(instance: PlayedInstance, { asked }: Request): void {
    this.report.served += 1;
    instance.lately.note(asked.request);
    if (instance.quarantine.crashesUnder(asked) >= CRASHES_ENOUGH - 1)
      this.fleet.file(instance, { crashes: [], answered: [asked] });
  }

  /** A request's connection closed as its target crashed. */
  private closed(
    instance: PlayedInstance,
    request: Request,
    run: TargetRun,
    attempt: number,
    sends: number,
  ): void {
    const { quarantine, lately } = instance;
    const { asked } = request;
    const seenMs = this.between(SEEN_AFTER_MS);
    this.events.after(seenMs, () => {
      if (this.holds(instance, request)) return;
      const known = lately.has(asked.request) ? [{ request: asked.request }] : [];
      this.fleet.file(instance, { crashes: [{ run, requests: [asked] }], answered: known });
    });
    const repeatMs = quarantine.crashesUnder(asked) > 0 ? seenMs : 0;
    this.events.after(repeatMs, () => {
      if (sends < SENDS_MOST && !this.holds(instance, request))
        this.sendOn(instance, request, attempt, sends + 1);
      else this.retry(request, attempt);
    });
  }

  private retry(request: Request, attempt: number): void {
    const { abusiveAttempts } = this.options;
    if (attempt >= (abusiveAttempts ?? ATTEMPTS_MOST)) return;
    const pauseMs = abusiveAttempts === undefined ? RETRY_AFTER_MS : ABUSE_AFTER_MS;
    this.events.after(pauseMs, () => this.send(request, attempt + 1));
  }

  private sentMoreOf({ runs = [], crashTimes }: Request): number {
    const third = crashTimes[CRASHES_ENOUGH - 1] ?? Infinity;
    return runs.filter(({ at, inTouch }) => inTouch && at > third + AGREED_WITHIN_MS).length;
  }
}

/** Plays a fleet under the crashes given. */
export const playCrashes = (options: PlayedCrashes): CrashPlayReport =>
  new CrashPlay(options).play();
