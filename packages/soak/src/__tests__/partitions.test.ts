/** The check that callers of partitioned instances are served. */
import { beforeEach, describe, expect, it } from 'vitest';
import type { SentRequest } from '..';
import { FaultHistory, PartitionChecker } from '..';

const INSTANCES = ['a', 'b', 'c'];

let faultHistory: FaultHistory;
let checker: PartitionChecker;
let violations: string[];

const lookup = (instance: string, at: number): SentRequest => ({
  id: `${instance}-${at}`,
  kind: 'idempotent',
  path: '/look/1',
  body: '',
  instance,
  incarnation: 1,
  at,
  routeExpected: true,
  version: 0,
});
const check = (instance: string, at: number, status: number) =>
  checker.check(lookup(instance, at), { status, at: at + 10 }, INSTANCES.length);

beforeEach(() => {
  violations = [];
  faultHistory = new FaultHistory();
  checker = new PartitionChecker(faultHistory, (guarantee, subject, detail) =>
    violations.push(`${guarantee} ${subject}: ${detail}`),
  );
});

describe('the check of partitions', () => {
  it('reports requests that a partitioned instance does not serve', () => {
    checker.begin(['a'], 10_000)(20_000);
    check('a', 12_000, 503);
    check('a', 13_000, 200);
    expect(violations).toMatchInlineSnapshot(`
      [
        "partition a-12000: status 503 at a, 2000 ms after its partition began",
      ]
    `);
  });

  it('reports nothing before callers must be served, at other instances, or after the end', () => {
    checker.begin(['a'], 10_000)(20_000);
    check('a', 11_000, 503);
    check('b', 12_000, 503);
    check('a', 20_000, 503);
    expect(violations).toEqual([]);
  });

  it('reports nothing if all instances are partitioned, or something else is disturbed', () => {
    checker.begin(INSTANCES, 10_000)(20_000);
    check('a', 12_000, 503);
    checker.begin(['a'], 30_000)(40_000);
    faultHistory.begin('t-1', 29_000)(30_000);
    check('a', 32_000, 503);
    checker.begin(['a'], 50_000)(60_000);
    checker.beginDisturbance(51_000)(52_000);
    check('a', 53_000, 503);
    expect(violations).toEqual([]);
  });
});
