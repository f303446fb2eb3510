/**
 * Simulates the repeats that a fleet sends for one service, in virtual time: instances
 * are killed and start again, links are cut and heal, targets fail. It measures the
 * repeats that arrive in each window against the fleet-wide bound.
 */
import type { RepeatBound } from '@cardamomladder/steering';
import { maxInWindow } from '../../maxInWindow';
import { EventQueue } from '../eventQueue';
import { seededRandom } from '../loadSimulation';
import type { ArrivalWindow } from './arrivalWindows';
import { worstWindow } from './arrivalWindows';

/** A period of virtual time, ms. */
export interface Period {
  from: number;
  to: number;
}

/** What an instance needs from its budget; created anew at each start of the process. */
export interface RetryLife {
  deposit: () => void;
  /** Asks for one repeat; `decide` is called once, at once or later. */
  withdraw: (decide: (granted: boolean) => void) => void;
}

/** What a strategy knows of the simulated fleet. */
export interface RetryContext {
  bound: RepeatBound;
  events: EventQueue;
  random: () => number;
  /** The number of instances that an instance knows of which started at `startedAt`. */
  knownInstances: (startedAt: number) => number;
  storeAnswers: () => boolean;
  /** Counts a call to the store. */
  countStoreCall: (kind: 'read' | 'write') => void;
}

/** Starts a life of an instance; called again when its process starts again. */
export type RetryStrategy = (context: RetryContext) => (instance: number) => RetryLife;

/** A play: what happens to the fleet. Times in ms. */
export interface RetryPlay {
  seed: number;
  instances: number;
  /** Requests per second of all callers. */
  rate: number;
  endMs: number;
  bound: RepeatBound;
  /** In these periods a share of the requests fails, and each asks for two repeats. */
  failing: readonly (Period & { share: number })[];
  /** The first `count` instances are killed. */
  kills?: readonly { at: number; count: number; downMs: number }[];
  /** What the first `count` instances send then arrives when the links heal, unless it is given up before. */
  cuts?: readonly (Period & { count: number })[];
  /** Registry entries have lapsed: instances know this many. */
  lapses?: readonly (Period & { known: number })[];
  storeOutages?: readonly Period[];
}

/** The result of a play. */
export interface RetryReport {
  /** Repeats asked for and granted. */
  asked: number;
  granted: number;
  /** The window with the most repeats in proportion to the bound. */
  worst: ArrivalWindow;
  /** Most calls to the store in one second. */
  storeReadsPerSecond: number;
  storeWritesPerSecond: number;
}

const MS_PER_SECOND = 1000;
const SEND_MS = { least: 8, most: 100 };
const REPEATS_PER_REQUEST = 2;
/** Sends over a cut link are given up after this time, ms, and do not arrive. */
const GIVE_UP_MS = 1500;
/** How long entries of instances take to appear after a start, ms. */
const LIST_MS = 300;

const covers = ({ from, to }: Period, at: number): boolean => at >= from && at < to;

/** Runs a play; the result depends on the play and the strategy only. */
export const simulateRetries = (play: RetryPlay, strategy: RetryStrategy): RetryReport => {
  const { instances, bound, endMs, cuts = [], lapses = [], storeOutages = [] } = play;
  const events = new EventQueue();
  const random = seededRandom(play.seed);
  const storeCalls: Record<'read' | 'write', number[]> = { read: [], write: [] };
  const context: RetryContext = {
    bound,
    events,
    random,
    knownInstances: (startedAt) => {
      const lapse = lapses.find((each) => covers(each, events.now));
      if (lapse) return lapse.known;
      return events.now - startedAt < LIST_MS ? 1 : instances;
    },
    storeAnswers: () => !storeOutages.some((each) => covers(each, events.now)),
    countStoreCall: (kind) => storeCalls[kind].push(events.now),
  };
  const start = strategy(context);
  const lives = Array.from({ length: instances }, (_, i) => start(i));
  const downUntil = new Array<number>(instances).fill(0);
  const requests: number[] = [];
  const repeats: number[] = [];
  const counts = { asked: 0, granted: 0 };

  (play.kills ?? []).forEach(({ at, count, downMs }) =>
    events.after(at, () => {
      for (let i = 0; i < count; i += 1) {
        downUntil[i] = at + downMs;
        events.after(downMs, () => {
          if (events.now >= downUntil[i]) lives[i] = start(i);
        });
      }
    }),
  );
  const send = (instance: number): void => {
    const cut = cuts.find((each) => covers(each, events.now) && instance < each.count);
    const arrivesAt = cut?.to ?? events.now;
    if (arrivesAt - events.now < GIVE_UP_MS) repeats.push(arrivesAt);
  };
  const askForRepeat = (instance: number, life: RetryLife, left: number): void => {
    if (left === 0) return;
    events.after(SEND_MS.least + random() * (SEND_MS.most - SEND_MS.least), () => {
      // A killed process sends nothing.
      if (lives[instance] !== life || events.now < downUntil[instance]) return;
      counts.asked += 1;
      life.withdraw((granted) => {
        if (!granted || lives[instance] !== life || events.now < downUntil[instance]) return;
        counts.granted += 1;
        send(instance);
        askForRepeat(instance, life, left - 1);
      });
    });
  };
  const scheduleRequest = (): void =>
    events.after((-Math.log(1 - random()) * MS_PER_SECOND) / play.rate, () => {
      if (events.now >= endMs) return;
      requests.push(events.now);
      const instance = Math.floor(random() * instances);
      if (events.now >= downUntil[instance]) {
        const life = lives[instance];
        life.deposit();
        const failing = play.failing.find((each) => covers(each, events.now));
        if (failing && random() < failing.share) askForRepeat(instance, life, REPEATS_PER_REQUEST);
      }
      scheduleRequest();
    });
  scheduleRequest();
  events.runUntil(endMs);
  return {
    ...counts,
    worst: worstWindow({ requests, repeats }, bound),
    storeReadsPerSecond: maxInWindow(storeCalls.read, MS_PER_SECOND),
    storeWritesPerSecond: maxInWindow(storeCalls.write, MS_PER_SECOND),
  };
};
