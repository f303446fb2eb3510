import { describe, expect, it } from 'vitest';
import { FaultHistory } from '../faultHistory';
import { LeavingCallerChecker } from '../leavingCallers';

const LEFT = { id: 'r-1', instance: 'i-1', sentAt: 10_000, closedAt: 10_200 };
const notCutOff = () => false;

const check = (
  faults: (history: FaultHistory) => void,
  visit: { arrivedAt: number; endedAt?: number; hasRun?: boolean },
  isCutOff = notCutOff,
): string[] => {
  const history = new FaultHistory();
  faults(history);
  const violations: string[] = [];
  const checker = new LeavingCallerChecker(history, (_, subject, detail) =>
    violations.push(`${subject}: ${detail}`),
  );
  checker.recordLeaving(LEFT);
  checker.checkVisit({ id: 'r-1', target: 't-1', hasRun: true, ...visit }, isCutOff);
  return violations;
};
const late =
  (component: string) =>
  (history: FaultHistory): void =>
    history.begin(component, 9900)(11_300);

describe('the check of callers that leave', () => {
  it('finds requests that arrive too late, also from an instance that was late', () => {
    const visit = { arrivedAt: 11_400, endedAt: 11_420 };
    expect([
      check(() => {}, visit),
      check(late('i-1'), visit),
      check(late('t-1'), visit),
      check(
        () => {},
        visit,
        () => true,
      ),
    ]).toMatchSnapshot();
  });

  it('finds work that goes on too long, unless the instance was late', () => {
    const visit = { arrivedAt: 10_050, endedAt: 11_500 };
    expect([
      check(() => {}, visit),
      check(() => {}, { arrivedAt: 10_050 }),
      check(() => {}, { ...visit, endedAt: 11_000 }),
      check(() => {}, { ...visit, hasRun: false }),
      check(late('i-1'), visit),
    ]).toMatchSnapshot();
  });

  it('finds connections that stay open', () => {
    const violations: string[] = [];
    const checker = new LeavingCallerChecker(new FaultHistory(), (_, subject, detail) =>
      violations.push(`${subject}: ${detail}`),
    );
    const connection = { sender: 't-1', startedAt: 1000, maxMs: 2000 };
    checker.checkEndless(connection, 'i-1', 2900);
    checker.checkEndless({ ...connection, closedAt: 2500 }, 'i-1', 9000);
    expect(violations).toEqual([]);
    checker.checkEndless(connection, 'i-1', 9000);
    expect(violations).toMatchSnapshot();
  });
});
