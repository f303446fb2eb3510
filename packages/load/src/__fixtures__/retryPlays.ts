import type { RetryPlay } from '..';

export const WINDOW_MS = 10_000;
const BOUND = { ratio: 0.2, extra: 56, windowMs: WINDOW_MS };
const DOWN_MS = 500;

type Faults = Partial<Pick<RetryPlay, 'failing' | 'kills' | 'cuts' | 'lapses' | 'storeOutages'>>;
/** What happens to a fleet of the given size. */
type FaultPlan = (instances: number) => Faults;

const ALWAYS = [{ from: 0, to: 60_000, share: 1 }];
/** Kills of all instances, or of the first ones, in series. */
const killsOf =
  (times: readonly number[], share = 1): FaultPlan =>
  (instances) => ({
    kills: times.map((at) => ({ at, count: Math.ceil(share * instances), downMs: DOWN_MS })),
  });

/** Plays in which the bound must hold, by name. */
export const DISTURBED: Record<string, FaultPlan> = {
  'all instances killed': killsOf([25_000]),
  'all killed six times in 7.5 s': killsOf([25_000, 26_500, 28_000, 29_500, 31_000, 32_500]),
  'half of them killed every 2 s': killsOf([24_000, 26_000, 28_000, 30_000, 32_000], 0.5),
  'one instance killed every 1.5 s': () => ({
    kills: [24_000, 25_500, 27_000, 28_500, 30_000, 31_500].map((at) => ({
      at,
      count: 1,
      downMs: DOWN_MS,
    })),
  }),
  'targets begin to fail a second before all are killed': (instances) => ({
    ...killsOf([25_000])(instances),
    failing: [{ from: 24_000, to: 60_000, share: 1 }],
  }),
  'targets fail in bursts, all killed after each': (instances) => ({
    ...killsOf([21_000, 26_000, 31_000])(instances),
    failing: [20_000, 25_000, 30_000].map((from) => ({ from, to: from + 2000, share: 1 })),
  }),
  'all killed while their entries have lapsed': (instances) => ({
    ...killsOf([25_000, 28_000])(instances),
    lapses: [{ from: 24_000, to: 34_000, known: 1 }],
  }),
  'all killed while the store is away': (instances) => ({
    ...killsOf([25_000, 28_000])(instances),
    storeOutages: [{ from: 24_000, to: 34_000 }],
  }),
  'links of a quarter cut, then healed': (instances) => ({
    cuts: [
      { from: 24_000, to: 30_000, count: Math.ceil(instances / 4) },
      { from: 33_000, to: 36_000, count: Math.ceil(instances / 4) },
    ],
  }),
};

/** A play of a fleet under `plan`; every request fails unless the plan says otherwise. */
export const play = (
  instances: number,
  rate: number,
  plan: FaultPlan = () => ({}),
  seed = 1,
): RetryPlay => ({
  seed,
  instances,
  rate,
  endMs: 45_000,
  bound: BOUND,
  failing: ALWAYS,
  ...plan(instances),
});
