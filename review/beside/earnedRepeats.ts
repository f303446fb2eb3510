/**
 * How long the first repeat after calm hours takes: `npx tsx review/beside/earnedRepeats.ts`.
 * Nothing drops what a service's requests have earned until a repeat is asked for. Exits with 1 if
 * the event loop stands still for longer than a second.
 */
import { RetryBudget } from '@cardamomladder/steering';

const BOUND = { ratio: 0.2, extra: 60, windowMs: 10_000 };
const MAX_MS = 1000;
const MS_PER_HOUR = 3_600_000;
const MS_PER_SECOND = 1000;

/** Requests per second of one service at one instance, and how long none of them is repeated. */
const CALM = [
  { perSecond: 19, hours: 8 },
  { perSecond: 19, hours: 24 },
  { perSecond: 40, hours: 24 },
];

const firstRepeatMs = (perSecond: number, hours: number): number => {
  const budget = new RetryBudget(BOUND, () => 0.5);
  budget.allowEarned(0);
  const endsAt = hours * MS_PER_HOUR;
  for (let at = 0; at < endsAt; at += MS_PER_SECOND / perSecond) budget.deposit(at);
  const startedAt = performance.now();
  budget.take(endsAt);
  return performance.now() - startedAt;
};

const times = CALM.map(({ perSecond, hours }) => {
  const ms = Math.round(firstRepeatMs(perSecond, hours));
  console.log(`${perSecond} requests a second, ${hours} h: the first repeat takes ${ms} ms`);
  return ms;
});
process.exit(Math.max(...times) > MAX_MS ? 1 : 0);
