/**
 * Simulates a fleet that receives requests which crash their targets, in
 * virtual time. It measures which requests the instances' quarantines, each
 * with the crash reports it has received so far, admit and reject.
 */
import type { IssuedRequest, TargetRun } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId, targetRun } from '@cardamomladder/types';
import type { CrashSimulationOptions, CrashSimulationReport } from './crashSimulationOptions';
import { EventQueue } from './eventQueue';
import { seededRandom } from './loadSimulation';
import type { CrashSimulationInstance } from './simulatedFleet';
import { CrashReportingFleet } from './simulatedFleet';

const MS_PER_SECOND = 1000;
/** Mean service time of a request, ms, and its relative spread to either side. */
const SERVICE_TIME_MS = 480;
const SERVICE_TIME_SPREAD = 0.3;
/** Time from the start of a crashing request to the crash of its target, ms. */
const CRASH_AFTER_MS = 90;
/** Time from the crash of a target to its restart, ms. */
const TARGET_RESTART_MS = 3000;
/** Time until the instances with requests on a crashed target detect the crash, ms: the settling delay plus a refused connection to any region. */
const CRASH_DETECTION_MS = { least: 12, most: 55 };
/** Number of targets that one attempt is sent to, and number of attempts of a caller. */
const MAX_SENDS_PER_ATTEMPT = 2;
const MAX_ATTEMPTS = 2;
/** Delay before a caller's next attempt, ms, and the delay of an abusive caller. */
const RETRY_DELAY_MS = 150;
const ABUSIVE_RETRY_DELAY_MS = 10;
/** Time that the fleet may take to quarantine a request after its third crash, ms. */
const CONVERGENCE_MS = 3000;
const QUARANTINE_CRASHES = 3;

interface Target {
  run: TargetRun;
  up: boolean;
  /** Completion callbacks of the requests in flight; they are called with true if the target crashes. */
  inFlight: Set<(crashed: boolean) => void>;
}

interface Request {
  asked: IssuedRequest;
  /** Runs of a crashing request; undefined for an ordinary request. */
  runs: { at: number; storeReachable: boolean }[] | undefined;
  crashTimes: number[];
}

class CrashSimulation {
  private readonly events = new EventQueue();

  private readonly random: () => number;

  private readonly fleet: CrashReportingFleet;

  private readonly targets: Target[];

  private readonly report: CrashSimulationReport = {
    ordinary: 0,
    served: 0,
    turnedAway: 0,
    crashes: 0,
    sentMore: 0,
  };

  private lastId = 0;

  constructor(private readonly options: CrashSimulationOptions) {
    this.random = seededRandom(options.seed);
    this.fleet = new CrashReportingFleet(options.instances, this.events, this.random);
    this.targets = Array.from({ length: options.targets }, () => this.startTarget());
  }

  simulate(): CrashSimulationReport {
    const {
      rate,
      durationMs,
      crashingRequests = [],
      restartsAtMs = [],
      storeRestores = [],
      partition,
    } = this.options;
    this.scheduleArrivals(rate, 0, () => this.send(this.ordinaryRequest(), 1));
    const requests = crashingRequests.map(({ perSecond, fromMs, callers }) => {
      const request = this.crashingRequest();
      this.scheduleArrivals(perSecond, fromMs, () => {
        const caller = callerDigest(`caller-${Math.floor(this.random() * callers)}`);
        this.send({ ...request, asked: { ...request.asked, caller } }, 1);
      });
      return request;
    });
    this.scheduleTargetFailures();
    restartsAtMs.forEach((at) => this.events.after(at, () => this.fleet.restart()));
    storeRestores.forEach(({ atMs, lostMs }) =>
      this.events.after(atMs, () => this.fleet.restoreStore(lostMs)),
    );
    if (partition) this.fleet.schedulePartition(partition);
    this.events.runUntil(durationMs);
    this.report.sentMore = Math.max(0, ...requests.map((request) => this.countExcessRuns(request)));
    return this.report;
  }

  private scheduleTargetFailures(): void {
    const { massCrashes = [], powerLosses = [] } = this.options;
    const failTargets = (share: number, connectionsClose: boolean) =>
      this.targets
        .filter(() => this.random() < share)
        .forEach((target) => this.failTarget(target, connectionsClose));
    massCrashes.forEach(({ atMs, share }) =>
      this.events.after(atMs, () => failTargets(share, true)),
    );
    powerLosses.forEach(({ atMs, share }) =>
      this.events.after(atMs, () => failTargets(share, false)),
    );
  }

  private startTarget(): Target {
    this.lastId += 1;
    const run = targetRun(targetId(`t-${this.lastId}`), undefined);
    return { run, up: true, inFlight: new Set() };
  }

  private scheduleArrivals(perSecond: number, fromMs: number, callback: () => void): void {
    const next = () =>
      this.events.after((-Math.log(1 - this.random()) / perSecond) * MS_PER_SECOND, () => {
        callback();
        next();
      });
    this.events.after(fromMs, next);
  }

  private ordinaryRequest(): Request {
    this.lastId += 1;
    this.report.ordinary += 1;
    const isPopular = this.random() < (this.options.popularShare ?? 0);
    return {
      asked: {
        request: requestDigest(isPopular ? 'popular' : `r-${this.lastId}`),
        caller: callerDigest(`c-${this.lastId}`),
      },
      runs: undefined,
      crashTimes: [],
    };
  }

  private crashingRequest(): Request {
    this.lastId += 1;
    const request = requestDigest(`crashing-${this.lastId}`);
    return { asked: { request, caller: callerDigest('c') }, runs: [], crashTimes: [] };
  }

  private pick<T>(all: readonly T[]): T {
    return all[Math.floor(this.random() * all.length)];
  }

  private between({ least, most }: { least: number; most: number }): number {
    return least + (most - least) * this.random();
  }

  /** Sends one attempt of a caller to a random instance. */
  private send(request: Request, attempt: number): void {
    const instance = this.pick(this.fleet.instances);
    if (this.isQuarantined(instance, request)) {
      if (!request.runs) this.report.turnedAway += 1;
      return;
    }
    this.sendToTarget(instance, request, attempt, 1);
  }

  private isQuarantined({ quarantine }: CrashSimulationInstance, { asked }: Request): boolean {
    return this.options.quarantineEnabled !== false && quarantine.blocks(asked);
  }

  private sendToTarget(
    instance: CrashSimulationInstance,
    request: Request,
    attempt: number,
    sends: number,
  ): void {
    const up = this.targets.filter((target) => target.up);
    if (up.length === 0) return;
    const target = this.pick(up);
    request.runs?.push({ at: this.events.now, storeReachable: !instance.isolated });
    const finish = (crashed: boolean) => {
      if (!target.inFlight.delete(finish)) return;
      if (crashed) this.closed(instance, request, target.run, attempt, sends);
      else this.answered(instance, request);
    };
    target.inFlight.add(finish);
    if (request.runs) {
      this.events.after(CRASH_AFTER_MS, () => {
        if (!target.inFlight.has(finish)) return;
        request.crashTimes.push(this.events.now);
        this.failTarget(target, true);
      });
      return;
    }
    const serviceTimeMs =
      SERVICE_TIME_MS * (1 - SERVICE_TIME_SPREAD + 2 * SERVICE_TIME_SPREAD * this.random());
    this.events.after(serviceTimeMs, () => finish(false));
  }

  /** Stops a target: its connections are closed (crash), or it just stops responding (power loss). */
  private failTarget(target: Target, connectionsClose: boolean): void {
    if (!target.up) return;
    Object.assign(target, { up: false });
    this.report.crashes += 1;
    if (connectionsClose) [...target.inFlight].forEach((finish) => finish(true));
    target.inFlight.clear();
    this.events.after(TARGET_RESTART_MS, () => Object.assign(target, this.startTarget()));
  }

  private answered(instance: CrashSimulationInstance, { asked }: Request): void {
    this.report.served += 1;
    instance.recentAnswers.add(asked.request);
    if (instance.quarantine.crashCount(asked) >= QUARANTINE_CRASHES - 1)
      this.fleet.file(instance, { crashes: [], answered: [asked] });
  }

  /** Handles a connection closed by the crash of the target. */
  private closed(
    instance: CrashSimulationInstance,
    request: Request,
    run: TargetRun,
    attempt: number,
    sends: number,
  ): void {
    const { quarantine, recentAnswers } = instance;
    const { asked } = request;
    const detectionMs = this.between(CRASH_DETECTION_MS);
    this.events.after(detectionMs, () => {
      if (this.isQuarantined(instance, request)) return;
      const answeredRequests = recentAnswers.has(asked.request) ? [{ request: asked.request }] : [];
      this.fleet.file(instance, {
        crashes: [{ run, requests: [asked] }],
        answered: answeredRequests,
      });
    });
    const resendDelayMs = quarantine.crashCount(asked) > 0 ? detectionMs : 0;
    this.events.after(resendDelayMs, () => {
      if (sends < MAX_SENDS_PER_ATTEMPT && !this.isQuarantined(instance, request))
        this.sendToTarget(instance, request, attempt, sends + 1);
      else this.retry(request, attempt);
    });
  }

  private retry(request: Request, attempt: number): void {
    const { abusiveAttempts } = this.options;
    if (attempt >= (abusiveAttempts ?? MAX_ATTEMPTS)) return;
    const pauseMs = abusiveAttempts === undefined ? RETRY_DELAY_MS : ABUSIVE_RETRY_DELAY_MS;
    this.events.after(pauseMs, () => this.send(request, attempt + 1));
  }

  private countExcessRuns({ runs = [], crashTimes }: Request): number {
    const quarantinedAt = crashTimes[QUARANTINE_CRASHES - 1] ?? Infinity;
    return runs.filter(
      ({ at, storeReachable }) => storeReachable && at > quarantinedAt + CONVERGENCE_MS,
    ).length;
  }
}

/** Runs a crash simulation. */
export const simulateCrashes = (options: CrashSimulationOptions): CrashSimulationReport =>
  new CrashSimulation(options).simulate();
