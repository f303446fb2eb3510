/**
 * Simulates callers and request placement in virtual time: several instances,
 * each with its own view of the same targets; load reports that arrive with
 * responses; callers that retry once after a rejection. It measures what
 * callers get without a network, deterministically for a given seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Locality, TargetState } from '@cardamomladder/steering';
import { updateResponseMs, overdueAfterMs } from '@cardamomladder/steering';
import {
  failureDomainName,
  objectKey,
  regionName,
  serviceName,
  targetId,
} from '@cardamomladder/types';
import { EventQueue } from './eventQueue';
import { objectSampler } from './objectSampler';
import type { PlacementPolicy } from './placementPolicies';
import type { SimulatedAdmissionOptions, SimulatedRequest } from './simulatedAdmission';
import { SimulatedAdmission } from './simulatedAdmission';
import type { PaceSources } from './simulatedPace';
import { simulatedPaces } from './simulatedPace';
import type { SimulatedInstance } from './simulatedInstances';
import { simulatedInstances } from './simulatedInstances';
import type { SimulatedTargetOptions } from './simulatedTarget';
import { SimulatedTarget } from './simulatedTarget';
import { applyTargetSignals } from './targetSignals';

/** Options of a load simulation. Rates are requests per second for the whole fleet. */
export interface LoadSimulationOptions {
  seed: number;
  /** Number of targets in each region; each region is one failure domain. */
  targetsPerRegion: Record<string, number>;
  target: SimulatedTargetOptions;
  objectsPerRegion: number;
  /** Instances per region; defaults to 3. The more there are, the less often each receives a report from a target. */
  instancesPerRegion?: number;
  /** How strongly requests are kept in their region; defaults to `balanced`. */
  locality?: Locality;
  /** Skew of object popularity: the weight of the object of rank r is r to the power of -`skew`. Defaults to 0 (uniform). */
  skew?: number;
  /** Request rate of a region at a point in virtual time, per second. */
  rate: (region: string, atMs: number) => number;
  durationMs: number;
  objectiveMs: number;
  deadlineMs: number;
  /** One-way network delay between regions, ms. */
  interRegionDelayMs: number;
  policy: PlacementPolicy;
  /** Lets requests wait for a slot, and spreads the returns of rejected callers; by default neither. */
  admission?: SimulatedAdmissionOptions;
  /** Number of priorities, given to requests in turn; defaults to 1. */
  priorities?: number;
  /** If false, a target that has stopped responding is only detected when its requests time out. Defaults to true. */
  detectsStalledTargets?: boolean;
  /** If false, instances ignore the limits and pauses that targets request. Defaults to true. */
  honorsTargetSignals?: boolean;
  /** What instances know the pace of targets from, to eject slow ones. Defaults to `off`. */
  paceSources?: PaceSources;
  /** Called when the first instance ejects a target or takes it back. */
  onEjection?: (target: string, event: 'ejected' | 'back', atMs: number) => void;
  /** Called with the index of a target when a request arrives there. */
  onArrival?: (target: number, atMs: number) => void;
  /** Called periodically to change targets during the simulation, for example to slow some down. */
  disturb?: (atMs: number, targets: SimulatedTarget[]) => void;
}

/** Results of a load simulation. */
export interface LoadSimulationReport {
  asked: number;
  withinObjective: number;
  late: number;
  rejected: number;
  /** Requests whose caller came back as told and was rejected again. */
  rejectedTwice: number;
  /** Share within the objective of the priority that is served worst. */
  worstPriority: number;
  /** Mean credit per request: 1 for a response within the objective, 0.2 for a late one, 0 otherwise. */
  credit: number;
  /** Longest time from receiving a request to rejecting it at an instance, ms. */
  maxRejectionMs: number;
  /** Health checks that asked a target for its pace. */
  probes: number;
}

const LATE_CREDIT = 0.2;
const MS_PER_SECOND = 1000;
const INTRA_REGION_DELAY_MS = 1;
/** A target is avoided after consecutive timeouts, with the same thresholds as in the gateway. */
const AVOID_AFTER_FAILURES = 2;
const INITIAL_AVOID_MS = 400;
const MAX_AVOID_MS = 3000;
const DISTURB_INTERVAL_MS = 250;

/** Creates a deterministic generator of uniform random numbers in [0, 1). */
export const seededRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Runs a load simulation; the result depends on the options only. */
export const simulateLoad = (options: LoadSimulationOptions): LoadSimulationReport => {
  const events = new EventQueue();
  const random = seededRandom(options.seed);
  const sampleObject = objectSampler(options, random);
  const regions = Object.keys(options.targetsPerRegion);
  const locations = regions.flatMap((region) =>
    Array.from({ length: options.targetsPerRegion[region] }, (_, i) => ({ region, i })),
  );
  const targets = locations.map(() => new SimulatedTarget(options.target, events, random));
  const targetInfos = locations.map(({ region, i }) => ({
    id: targetId(`${region}-${i}`),
    service: serviceName('played'),
    address: `${region}-${i}`,
    failureDomain: failureDomainName(region),
    region: regionName(region),
    slots: options.target.slots,
  }));
  const instances = simulatedInstances(targetInfos, regions, options.instancesPerRegion);
  const { admission, priorities = 1 } = options;
  if (admission)
    instances.forEach((instance) =>
      Object.assign(instance, { admission: new SimulatedAdmission(admission, options, events) }),
    );
  const askedByPriority = new Array<number>(priorities).fill(0);
  const withinByPriority = new Array<number>(priorities).fill(0);
  const report: LoadSimulationReport = {
    asked: 0,
    withinObjective: 0,
    late: 0,
    rejected: 0,
    rejectedTwice: 0,
    worstPriority: 0,
    credit: 0,
    maxRejectionMs: 0,
    probes: 0,
  };

  const targetIndexOf = ({ id }: TargetState) => targetInfos.findIndex((info) => info.id === id);
  const oneWayMsTo = (instance: SimulatedInstance, { region }: TargetState): number =>
    region === regionName(instance.region) ? INTRA_REGION_DELAY_MS : options.interRegionDelayMs;
  const paces = simulatedPaces({
    sources: options.paceSources ?? 'off',
    instances,
    events,
    paceOf: (target) => targets[targetIndexOf(target)].load().pace,
    oneWayMs: oneWayMsTo,
    onEjection: options.onEjection,
  });

  const reject = (
    instance: SimulatedInstance,
    request: SimulatedRequest,
    waitMs: number,
    mayRetry: boolean,
  ): void => {
    if (mayRetry && events.now + waitMs - request.askedAt < options.deadlineMs)
      events.after(waitMs, () => sendRequest(instance, request, false));
    else {
      report.rejected += 1;
      if (!mayRetry) report.rejectedTwice += 1;
    }
  };
  function sendRequest(
    instance: SimulatedInstance,
    request: SimulatedRequest,
    mayRetry: boolean,
  ): void {
    const { object, askedAt, priority } = request;
    const receivedAt = events.now;
    const isUrgent = instance.priorityBaseline.observe(priority);
    const choose = (urgent: boolean, pool = instance.pool) =>
      options.policy(
        {
          key: objectKey(object),
          locality: options.locality ?? 'balanced',
          homeRegions: [],
          objectiveMs: options.objectiveMs,
          objectiveMissed: events.now - askedAt > options.objectiveMs,
          urgent: isUrgent || urgent,
          tried: new Set(),
          now: events.now,
        },
        pool,
        instance.rankings,
      );
    const send = (target: TargetState) => sendTo(instance, request, target, mayRetry);
    const refuse = (retryAfterMs: number) => {
      report.maxRejectionMs = Math.max(report.maxRejectionMs, events.now - receivedAt);
      reject(instance, request, retryAfterMs, mayRetry);
    };
    if (instance.admission) {
      instance.admission.admit(request, { choose, send, refuse, pool: instance.pool });
      return;
    }
    const outcome = choose(false);
    if (outcome.kind === 'placed') send(outcome.target);
    else refuse(outcome.retryAfterMs);
  }
  function sendTo(
    instance: SimulatedInstance,
    request: SimulatedRequest,
    target: TargetState,
    mayRetry: boolean,
  ): void {
    const { object, askedAt, priority } = request;
    const targetIndex = targetIndexOf(target);
    const simulatedTarget = targets[targetIndex];
    const oneWayMs = oneWayMsTo(instance, target);
    const sentAt = events.now;
    const busy = target.load.requestsAt(sentAt);
    const remembered = target.cachedObjects.has(objectKey(object));
    target.cachedObjects.add(objectKey(object));
    const endPaceWatch = paces.startSend(instance, target, remembered);
    target.load.ownRequests += 1;
    target.selfReport.limit.recordSend(sentAt);
    const longest = instance.longestAnswers[remembered ? 'remembered' : 'first'];
    const expectedMs = overdueAfterMs(longest.estimateAt(sentAt)) ?? Infinity;
    const endSend = target.unanswered.start(
      sentAt,
      (options.detectsStalledTargets ?? true) ? expectedMs : Infinity,
    );
    const remainingMs = options.deadlineMs - (sentAt - askedAt);
    // At its deadline, a request without a response counts as lost and as a failure of the target.
    let isFinished = false;
    events.after(remainingMs, () => {
      if (isFinished) return;
      isFinished = true;
      target.load.ownRequests -= 1;
      endSend('lost', events.now);
      target.failures += 1;
      const avoidMs = Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * 2 ** (target.failures - 1));
      if (target.failures >= AVOID_AFTER_FAILURES) target.avoidUntil = events.now + avoidMs;
    });
    events.after(oneWayMs, () => {
      options.onArrival?.(targetIndex, events.now);
      simulatedTarget.accept(object, (ran) => {
        const { limitPerSecond: perSecond, pauseMs } = simulatedTarget;
        events.after(oneWayMs, () => {
          if (isFinished) return;
          isFinished = true;
          if (options.honorsTargetSignals ?? true)
            applyTargetSignals(target, { perSecond, ran, sentAt }, pauseMs, events.now);
          target.load.ownRequests -= 1;
          endSend('answered', events.now);
          const load = simulatedTarget.load();
          endPaceWatch(load.pace);
          const usualMs = paces.usualMs(target, events.now - sentAt, load.pace);
          if (ran) {
            target.failures = 0;
            longest.record(usualMs, events.now);
          }
          target.load.recordReport(load.running, load.waiting, events.now);
          instance.admission?.sendEnded(ran ? events.now - sentAt : undefined);
          if (ran && remembered) updateResponseMs(target, usualMs, busy);
          if (!ran) reject(instance, request, INTRA_REGION_DELAY_MS, mayRetry);
          else if (events.now - askedAt <= options.objectiveMs) {
            report.withinObjective += 1;
            withinByPriority[priority] += 1;
          } else if (events.now - askedAt <= options.deadlineMs) report.late += 1;
        });
      });
    });
  }
  const scheduleArrival = (region: string): void => {
    const rate = options.rate(region, events.now);
    events.after((-Math.log(1 - random()) / rate) * MS_PER_SECOND, () => {
      if (events.now >= options.durationMs) return;
      report.asked += 1;
      const regionInstances = instances.filter((i) => i.region === region);
      const instance = regionInstances[Math.floor(random() * regionInstances.length)];
      const object = `${region}/${sampleObject()}`;
      const priority = report.asked % priorities;
      askedByPriority[priority] += 1;
      sendRequest(instance, { id: report.asked, object, askedAt: events.now, priority }, true);
      scheduleArrival(region);
    });
  };
  const disturbPeriodically = (): void => {
    options.disturb?.(events.now, targets);
    if (events.now < options.durationMs) events.after(DISTURB_INTERVAL_MS, disturbPeriodically);
  };
  disturbPeriodically();
  regions.forEach(scheduleArrival);
  events.runUntil(options.durationMs + options.deadlineMs);
  report.worstPriority = Math.min(...withinByPriority.map((n, i) => n / askedByPriority[i]));
  report.probes = paces.probes();
  report.credit = (report.withinObjective + LATE_CREDIT * report.late) / Math.max(1, report.asked);
  return report;
};
