/** Each check reports its violation, and a recorded fault exempts only the guarantees it may. */
import { describe, expect, it } from 'vitest';
import type { ReceivedResponse, SentRequest, ObservedRun } from '..';
import { FaultHistory, FAULT_KINDS, GuaranteeChecker, planFaults } from '..';

const request: SentRequest = {
  id: 'r-1',
  kind: 'once',
  path: '/book/1',
  body: 'b',
  instance: 'i-1',
  incarnation: 7,
  at: 10_000,
  routeExpected: true,
  version: 0,
  customer: 'harbour',
};
const response: ReceivedResponse = { status: 200, at: 10_100, id: 'r-1' };
const run: ObservedRun = {
  id: 'r-1',
  path: '/book/1',
  body: 'b',
  target: 't-1',
  at: 10_050,
  customer: 'harbour',
};

const violationsAfter = (
  record: (checker: GuaranteeChecker, faultHistory: FaultHistory) => void,
): string[] => {
  const faultHistory = new FaultHistory();
  const checker = new GuaranteeChecker(faultHistory, { responseMs: 1500, leavingMs: 2500 });
  checker.recordRequest(request);
  record(checker, faultHistory);
  return checker.violations.map((v) => v.guarantee);
};

describe('GuaranteeChecker', () => {
  it('reports nothing for a request that ran once and was answered', () => {
    expect(
      violationsAfter((checker) => {
        checker.recordRun(run);
        checker.recordResponse('r-1', response);
      }),
    ).toEqual([]);
  });

  it.each([
    [
      'twice',
      (checker: GuaranteeChecker) => [
        checker.recordRun(run),
        checker.recordRun({ ...run, target: 't-2' }),
      ],
    ],
    ['unasked', (checker: GuaranteeChecker) => checker.recordRun({ ...run, id: 'r-9' })],
    ['unasked', (checker: GuaranteeChecker) => checker.recordRun({ ...run, body: 'c' })],
    [
      'refused',
      (checker: GuaranteeChecker) => [
        checker.recordResponse('r-1', { ...response, status: 503 }),
        checker.recordRun(run),
      ],
    ],
    [
      'mixed',
      (checker: GuaranteeChecker) => checker.recordResponse('r-1', { ...response, id: 'r-2' }),
    ],
    [
      'mixed',
      (checker: GuaranteeChecker) =>
        checker.recordResponse('r-1', { ...response, corruption: 'half a body' }),
    ],
    [
      'lost',
      (checker: GuaranteeChecker) => [
        checker.recordResponse('r-1', { ...response, status: 0 }),
        checker.recordRun(run),
      ],
    ],
    [
      'late',
      (checker: GuaranteeChecker) => checker.recordResponse('r-1', { ...response, at: 12_000 }),
    ],
    [
      'configuration',
      (checker: GuaranteeChecker) => checker.recordResponse('r-1', { ...response, status: 404 }),
    ],
    [
      'leaving',
      (checker: GuaranteeChecker) => [checker.recordLeaving('t-1', 7000), checker.recordRun(run)],
    ],
    ['unasked', (checker: GuaranteeChecker) => checker.recordRun({ ...run, customer: 'town' })],
    [
      'unasked',
      (checker: GuaranteeChecker) => checker.recordRun({ ...run, apiKeyForwarded: true }),
    ],
    [
      'limit',
      (checker: GuaranteeChecker) => [
        checker.recordRun(run),
        checker.checkRateLimit('harbour', 0, 5000),
      ],
    ],
    [
      'key',
      (checker: GuaranteeChecker) => [
        checker.recordRequest({ ...request, keyState: () => 'valid' }),
        checker.recordResponse('r-1', { ...response, status: 401 }),
      ],
    ],
    [
      'key',
      (checker: GuaranteeChecker) => [
        checker.recordRequest({ ...request, keyState: () => 'revoked' }),
        checker.recordResponse('r-1', response),
      ],
    ],
  ])('reports a violation of "%s"', (guarantee, record) => {
    expect(violationsAfter(record)).toEqual([guarantee]);
  });

  it('reports a process that returns to an older configuration, even during a fault', () => {
    const violationsWith = (incarnation: number) =>
      violationsAfter((checker, faultHistory) => {
        faultHistory.begin('all', 0);
        checker.recordRequest({ ...request, version: 3 });
        checker.recordResponse('r-1', response);
        checker.recordRequest({ ...request, id: 'r-2', incarnation, at: 10_200, version: 2 });
        checker.recordResponse('r-2', { status: 404, at: 10_300 });
      });
    expect(violationsWith(7)).toEqual(['reverted']);
    expect(violationsWith(8)).toEqual([]);
  });

  it('accepts a lost response of an instance with a fault, but never a second run', () => {
    expect(
      violationsAfter((checker, faultHistory) => {
        faultHistory.begin('i-1', 8000)(8500);
        checker.recordResponse('r-1', { ...response, status: 0 });
        checker.recordRun(run);
        checker.recordRun({ ...run, target: 't-2' });
      }),
    ).toEqual(['twice']);
  });
});

describe('planFaults', () => {
  it('returns the same plan for a seed, and every kind of fault over 20 seeds', () => {
    expect(planFaults(3, 20_000)).toEqual(planFaults(3, 20_000));
    const drawnKinds = new Set(
      Array.from({ length: 20 }, (_, seed) => planFaults(seed, 20_000).map((f) => f.kind)).flat(),
    );
    expect([...drawnKinds].sort()).toEqual([...FAULT_KINDS].sort());
  });
});
