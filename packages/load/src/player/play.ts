/**
 * Plays callers against placing decisions in virtual time: several instances
 * with their own views of the same targets, reports that arrive with answers,
 * callers that come back once after a refusal. It shows what callers get,
 * without a network, the same on every run of a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { HeardLimit, Locality, PlacedTarget } from '@cardamomladder/steering';
import { learnAnswerMs, overdueAfter } from '@cardamomladder/steering';
import {
  failureDomainName,
  objectKey,
  regionName,
  serviceName,
  targetId,
} from '@cardamomladder/types';
import { EventQueue } from './eventQueue';
import type { PlacingRule } from './placingRules';
import type { PlayedInstance } from './playedInstances';
import { playedInstances } from './playedInstances';
import type { PlayedTargetOptions } from './playedTarget';
import { PlayedTarget } from './playedTarget';

/** A load to play. Rates are requests per second for the whole fleet. */
export interface PlayedLoadOptions {
  seed: number;
  /** Targets by region, and instances, one per region and failure domain. */
  targetsPerRegion: Record<string, number>;
  target: PlayedTargetOptions;
  objectsPerRegion: number;
  /** Instances of a region; 3 where not said. With many, each hears from a target seldom. */
  instancesPerRegion?: number;
  /** How strongly requests stay in their region; balanced where not said. */
  locality?: Locality;
  /** How unevenly objects are asked for: each one's part goes with its place to the power of minus this; 0, all alike, where not said. */
  skew?: number;
  /** Requests per second of a region at a time, ms. */
  rate: (region: string, atMs: number) => number;
  lengthMs: number;
  objectiveMs: number;
  deadlineMs: number;
  /** One way between regions, ms. */
  betweenRegionsMs: number;
  rule: PlacingRule;
  /** False: a target that has fallen silent is only noticed when its answers have run out of time. */
  noticesSilence?: boolean;
  /** False: instances do not heed what targets say of themselves. */
  heedsTargets?: boolean;
  /** Called as a request arrives at a target, by its number. */
  onArrival?: (target: number, atMs: number) => void;
  /** Changes targets while the load plays, such as making some slow. */
  disturb?: (atMs: number, targets: PlayedTarget[]) => void;
}

/** What callers got. */
export interface PlayedReport {
  asked: number;
  inObjective: number;
  late: number;
  refused: number;
  /** Credit earned: 1 in the objective, 0.2 late, over all asked. */
  credit: number;
  /** Longest wait for a refusal, ms. */
  slowestRefusalMs: number;
}

const LATE_CREDIT = 0.2;
const MS_PER_SECOND = 1000;
const LOCAL_MS = 1;
/** As the gateway leaves a target alone that lost answers. */
const LOST_IN_A_ROW = 2;
const AVOID_FIRST_MS = 400;
const AVOID_MOST_MS = 3000;
const LOOK_MS = 250;

/** Random numbers from 0 to 1, the same for a seed each time. */
export const seeded = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** What an answer tells an instance of its target's limit and pause. */
const hearTarget = (
  { selfReport }: PlacedTarget,
  heard: HeardLimit,
  pauseMs: number | undefined,
  now: number,
): void => {
  selfReport.limit.hear(heard, now);
  if (heard.ran || pauseMs === undefined) return;
  Object.assign(selfReport, { restUntil: Math.max(selfReport.restUntil, now + pauseMs) });
};

/** Draws an object's number, by its part of a region's requests. */
const objectDraw = ({ objectsPerRegion, skew = 0 }: PlayedLoadOptions, random: () => number) => {
  const upTo: number[] = [];
  for (let i = 0; i < objectsPerRegion; i += 1) upTo.push((upTo[i - 1] ?? 0) + (i + 1) ** -skew);
  const total = upTo[objectsPerRegion - 1];
  return (): number => {
    const at = random() * total;
    return upTo.findIndex((end) => at < end);
  };
};

/** Plays the load; the same options give the same report. */
export const playLoad = (options: PlayedLoadOptions): PlayedReport => {
  const events = new EventQueue();
  const random = seeded(options.seed);
  const drawObject = objectDraw(options, random);
  const regions = Object.keys(options.targetsPerRegion);
  const places = regions.flatMap((region) =>
    Array.from({ length: options.targetsPerRegion[region] }, (_, i) => ({ region, i })),
  );
  const targets = places.map(() => new PlayedTarget(options.target, events, random));
  const facts = places.map(({ region, i }) => ({
    id: targetId(`${region}-${i}`),
    service: serviceName('played'),
    address: `${region}-${i}`,
    failureDomain: failureDomainName(region),
    region: regionName(region),
    slots: options.target.slots,
  }));
  const instances = playedInstances(facts, regions, options.instancesPerRegion);
  const report: PlayedReport = {
    asked: 0,
    inObjective: 0,
    late: 0,
    refused: 0,
    credit: 0,
    slowestRefusalMs: 0,
  };

  const refuse = (
    instance: PlayedInstance,
    object: string,
    askedAt: number,
    waitMs: number,
    again: boolean,
  ): void => {
    if (again && events.now + waitMs - askedAt < options.deadlineMs)
      events.after(waitMs, () => ask(instance, object, askedAt, false));
    else report.refused += 1;
  };
  function ask(instance: PlayedInstance, object: string, askedAt: number, again: boolean): void {
    const receivedAt = events.now;
    const outcome = options.rule(
      {
        key: objectKey(object),
        locality: options.locality ?? 'balanced',
        homeRegions: [],
        objectiveMs: options.objectiveMs,
        lateAlready: events.now - askedAt > options.objectiveMs,
        tried: new Set(),
        now: events.now,
      },
      instance.pool,
      instance.rankings,
    );
    if (outcome.kind === 'rejected') {
      report.slowestRefusalMs = Math.max(report.slowestRefusalMs, events.now - receivedAt);
      refuse(instance, object, askedAt, outcome.retryAfterMs, again);
      return;
    }
    const { target } = outcome;
    const number = facts.findIndex((f) => f.id === target.id);
    const played = targets[number];
    const wayMs =
      target.region === regionName(instance.region) ? LOCAL_MS : options.betweenRegionsMs;
    const sentAt = events.now;
    const busy = target.load.busyAt(sentAt);
    const remembered = target.objects.has(objectKey(object));
    target.objects.note(objectKey(object));
    target.load.own += 1;
    target.selfReport.limit.take(sentAt);
    const longest = instance.longest[remembered ? 'remembered' : 'first'];
    const expectedMs = overdueAfter(longest.now(sentAt)) ?? Infinity;
    const endSend = target.unanswered.begin(
      sentAt,
      (options.noticesSilence ?? true) ? expectedMs : Infinity,
    );
    const leftMs = options.deadlineMs - (sentAt - askedAt);
    // A send that has run out of time ends without an answer, and teaches that.
    let isOver = false;
    events.after(leftMs, () => {
      if (isOver) return;
      isOver = true;
      target.load.own -= 1;
      endSend('lost', events.now);
      target.failures += 1;
      const avoidMs = Math.min(AVOID_MOST_MS, AVOID_FIRST_MS * 2 ** (target.failures - 1));
      if (target.failures >= LOST_IN_A_ROW) target.avoidUntil = events.now + avoidMs;
    });
    events.after(wayMs, () => {
      options.onArrival?.(number, events.now);
      played.take(object, (ran) => {
        const { limitPerSecond: perSecond, pauseMs } = played;
        events.after(wayMs, () => {
          if (isOver) return;
          isOver = true;
          if (options.heedsTargets ?? true)
            hearTarget(target, { perSecond, ran, sentAt }, pauseMs, events.now);
          target.load.own -= 1;
          endSend('answered', events.now);
          if (ran) {
            target.failures = 0;
            longest.take(events.now - sentAt, events.now);
          }
          const load = played.load();
          target.load.takeReport(load.running, load.waiting, events.now);
          if (ran && remembered) learnAnswerMs(target, events.now - sentAt, busy);
          if (!ran) refuse(instance, object, askedAt, LOCAL_MS, again);
          else if (events.now - askedAt <= options.objectiveMs) report.inObjective += 1;
          else if (events.now - askedAt <= options.deadlineMs) report.late += 1;
        });
      });
    });
  }
  const arrive = (region: string): void => {
    const rate = options.rate(region, events.now);
    events.after((-Math.log(1 - random()) / rate) * MS_PER_SECOND, () => {
      if (events.now >= options.lengthMs) return;
      report.asked += 1;
      const near = instances.filter((i) => i.region === region);
      const instance = near[Math.floor(random() * near.length)];
      const object = `${region}/${drawObject()}`;
      ask(instance, object, events.now, true);
      arrive(region);
    });
  };
  const look = (): void => {
    options.disturb?.(events.now, targets);
    if (events.now < options.lengthMs) events.after(LOOK_MS, look);
  };
  look();
  regions.forEach(arrive);
  events.play(options.lengthMs + options.deadlineMs);
  report.credit = (report.inObjective + LATE_CREDIT * report.late) / Math.max(1, report.asked);
  return report;
};
