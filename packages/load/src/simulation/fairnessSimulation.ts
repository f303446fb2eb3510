/**
 * Plays customers at a service of fixed capacity in virtual time: several instances
 * that divide its slots and state their demand to each other, and callers that return
 * as they are told. It measures what each customer gets.
 */
import type { ServiceDemand } from '@cardamomladder/steering';
import { ServiceFairness } from '@cardamomladder/steering';
import { EventQueue } from './eventQueue';
import { seededRandom } from './loadSimulation';

/** A customer's requests on one route. */
export interface PlayedDemand {
  customer: string;
  route: string;
  /** Requests per second of the whole fleet at a point in virtual time. */
  rate: (atMs: number) => number;
  /** Work of one request, ms; 100 by default. */
  workMs?: number;
  weight?: number;
  /** Index of the instance that all its callers use; by default each request goes to any. */
  instance?: number;
}

/** How an instance takes part: it states its demand, is cut off from the others, or is of a version without shares. */
export type Participation = 'states' | 'cut-off' | 'older';

/** Options of a fairness simulation. */
export interface FairnessSimulationOptions {
  seed: number;
  instances: readonly Participation[];
  /** Slots of the service at a point in virtual time. */
  slots: (atMs: number) => number;
  demands: readonly PlayedDemand[];
  durationMs: number;
  /** Requests that arrive from here on are counted. */
  countedFromMs?: number;
}

/** What a customer got on a route. */
export interface PlayedResult {
  customer: string;
  route: string;
  asked: number;
  served: number;
  /** Requests refused as over the share, each time counted. */
  cut: number;
}

const ROUND_MS = 250;
/** Time until a statement has reached all instances, ms. */
const HEARD_AFTER_MS = 500;
const CALLER_WAITS_MS = 2000;
/** Part of its time that a caller has used up before it is known to return, as in the gateway. */
const KNOWN_TO_RETURN = 0.3;
/** Requests per slot that are placed, and those of urgent ones. */
const PER_SLOT = 1.4;
const URGENT_PER_SLOT = 1.7;
const FULL_RETRY_AFTER_MS = 250;
const MS_PER_SECOND = 1000;
const DEFAULT_WORK_MS = 100;

interface SaidDemand {
  id: string;
  demand: ServiceDemand;
  saidAt: number;
}

/** Runs a fairness simulation; the result depends on the options only. */
export const simulateFairness = (options: FairnessSimulationOptions): PlayedResult[] => {
  const { demands, slots, durationMs, countedFromMs = 0 } = options;
  const events = new EventQueue();
  const random = seededRandom(options.seed);
  const weights = new Map(demands.map(({ customer, weight = 1 }) => [customer, weight]));
  const instances = options.instances.map((participation, i) => ({
    id: `instance-${i}`,
    participation,
    said: [] as SaidDemand[],
    fairness: new ServiceFairness({
      weightOf: (customer) => weights.get(customer ?? '') ?? 1,
      self: `instance-${i}`,
    }),
  }));
  const results = demands.map(({ customer, route }) => ({
    customer,
    route,
    asked: 0,
    served: 0,
    cut: 0,
  }));
  let running = 0;
  const waiting: (() => void)[] = [];
  const run = (workMs: number): void => {
    running += 1;
    events.after(workMs, () => {
      running -= 1;
      if (running < slots(events.now)) waiting.shift()?.();
    });
  };
  const tryPlace = (workMs: number, urgent: boolean): boolean => {
    const limit = slots(events.now) * (urgent ? URGENT_PER_SLOT : PER_SLOT);
    if (running + waiting.length >= limit) return false;
    if (running < slots(events.now)) run(workMs);
    else waiting.push(() => run(workMs));
    return true;
  };
  const ask = (index: number, askedAt: number): void => {
    const { customer, route, instance, workMs = DEFAULT_WORK_MS } = demands[index];
    const anyInstance = Math.floor(random() * instances.length);
    const { fairness, participation } = instances[instance ?? anyInstance];
    const isCounted = askedAt >= countedFromMs;
    const timeLeftMs = askedAt + CALLER_WAITS_MS - events.now;
    const returnAfter = (ms: number): void => {
      if (ms < timeLeftMs) events.after(ms, () => ask(index, askedAt));
    };
    const returns = timeLeftMs < CALLER_WAITS_MS * (1 - KNOWN_TO_RETURN);
    const decision =
      participation === 'older'
        ? { kind: 'within' as const, urgent: false }
        : fairness.decide({ route, customer, returns, timeLeftMs }, events.now);
    if (decision.kind === 'over-share') {
      if (isCounted) results[index].cut += 1;
      returnAfter(decision.retryAfterMs);
    } else if (tryPlace(workMs, decision.urgent)) {
      fairness.meter.answer(route, workMs, false);
      fairness.meter.place(route, events.now);
      if (isCounted) results[index].served += 1;
    } else {
      fairness.meter.findFull(events.now);
      returnAfter(FULL_RETRY_AFTER_MS);
    }
  };
  const arrive = (index: number): void => {
    const rate = Math.max(demands[index].rate(events.now), Number.EPSILON);
    const afterMs = Math.min(ROUND_MS, (-Math.log(1 - random()) / rate) * MS_PER_SECOND);
    events.after(afterMs, () => {
      if (events.now >= durationMs) return;
      if (afterMs < ROUND_MS) {
        if (events.now >= countedFromMs) results[index].asked += 1;
        ask(index, events.now);
      }
      arrive(index);
    });
  };
  const exchange = (): void => {
    const { now } = events;
    instances.forEach(({ id, participation, said, fairness }) => {
      if (participation === 'states') said.push({ id, demand: fairness.demand(now), saidAt: now });
    });
    instances.forEach((instance) => {
      const others = instance.participation === 'states' ? instances : [];
      const heard = others
        .filter(({ id }) => id !== instance.id)
        .flatMap(({ said }) => said.findLast(({ saidAt }) => saidAt <= now - HEARD_AFTER_MS) ?? [])
        .map(({ id, demand, saidAt }) => ({ id, demand, ageMs: now - saidAt }));
      instance.fairness.update(heard, now);
    });
    if (now < durationMs) events.after(ROUND_MS, exchange);
  };
  exchange();
  demands.forEach((_, index) => arrive(index));
  events.runUntil(durationMs + CALLER_WAITS_MS);
  return results;
};
