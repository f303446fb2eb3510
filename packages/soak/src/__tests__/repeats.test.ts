import { expect, it } from 'vitest';
import { RepeatChecker } from '..';

const BOUND = { ratio: 0.2, extra: 2, windowMs: 1000 };

/** Ten requests of one service, of which the first ones reach a target a second time. */
const violationsWith = (repeats: number, everyMs: number): string[] => {
  const violations: string[] = [];
  const checker = new RepeatChecker(BOUND, (...parts) => violations.push(parts.join(' ')));
  for (let i = 0; i < 10; i += 1) checker.recordRequest('lookups', i * 10);
  const ids = Array.from({ length: 10 }, (_, i) => `r-${i}`);
  const service = 'lookups';
  checker.recordArrivals([
    ...ids.slice(0, repeats).map((id, i) => ({ service, id, at: 200 + i * everyMs })),
    ...ids.map((id, i) => ({ service, id, at: i * 10 })),
  ]);
  checker.check();
  return violations;
};

it('reports more repeats in a window than the bound allows', () => {
  // Guards against a check that counts whole runs only.
  expect(violationsWith(4, 10)).toEqual([]);
  expect(violationsWith(5, 10)).toEqual(['repeats lookups 5 in the window from 200, 4 allowed']);
  expect(violationsWith(8, 600)).toEqual([]);
});
