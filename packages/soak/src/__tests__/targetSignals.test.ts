/** Violations that a soak reports when instances ignore the signals of targets. */
import { describe, expect, it } from 'vitest';
import { FaultHistory } from '../faultHistory';
import type { SentRequest } from '../guarantees';
import { TargetSignalChecker } from '../targetSignals';

const TARGET = 't-1';
const sentRequest = (id: string, at = 0): SentRequest => ({
  id,
  kind: 'idempotent',
  path: '/look/1',
  body: '',
  instance: 'i-1',
  incarnation: 7,
  at,
  routeExpected: true,
  version: 0,
});
const setUp = () => {
  const violations: string[] = [];
  const faultHistory = new FaultHistory();
  const checker = new TargetSignalChecker(faultHistory, (guarantee, subject) =>
    violations.push(`${guarantee} ${subject}`),
  );
  return { violations, faultHistory, checker };
};

describe('a target that announces its leaving', () => {
  const simulate = (sentAt: number, faulty = false) => {
    const { violations, faultHistory, checker } = setUp();
    if (faulty) faultHistory.begin('i-1', 1000)(1500);
    checker.recordLeavingSeen(TARGET, sentRequest('signalled'), 100);
    checker.recordLeavingSeen(TARGET, sentRequest('signalled again'), 3000);
    checker.recordArrival(TARGET, sentRequest('r', sentAt), sentAt + 10);
    checker.check();
    return violations;
  };

  it('gets no request sent more than 2.5 s after its instance received the signal', () => {
    expect(simulate(2550)).toEqual([]);
    expect(simulate(2650)).toEqual(['target-leaving r']);
    expect(simulate(2650, true)).toEqual([]);
  });
});

describe('a target that asks for a pause', () => {
  const simulate = (requests: number, faulty?: string) => {
    const { violations, faultHistory, checker } = setUp();
    if (faulty) faultHistory.begin(faulty, 1000)(1500);
    checker.recordPause(TARGET, sentRequest('refused'), 100, 3000);
    for (let i = 0; i < requests; i += 1)
      checker.recordArrival(TARGET, sentRequest(`r-${i}`), 700 + i);
    checker.recordArrival(TARGET, sentRequest('in flight'), 500);
    checker.recordArrival(TARGET, sentRequest('after'), 3200);
    checker.check();
    return violations;
  };

  it('gets at most two requests of the same process during the pause', () => {
    expect(simulate(2)).toEqual([]);
    expect(simulate(3)).toEqual([`target-pause ${TARGET}`]);
    expect([...simulate(3, 'i-1'), ...simulate(3, TARGET)]).toEqual([]);
  });
});

describe('a limit that a target advertises', () => {
  /** Sends `perSecond` requests a second for 8 s; the instance receives a limit of 2 at 100 ms. */
  const simulate = (perSecond: number, { checker }: ReturnType<typeof setUp>) => {
    const end = checker.announceLimit(TARGET, 2, 0);
    checker.recordLimitSeen(TARGET, sentRequest('signalled'), 100);
    for (let at = 200; at < 8000; at += 1000 / perSecond)
      checker.recordArrival(TARGET, sentRequest(`r-${at}`), at);
    end(8000);
    checker.check();
  };

  it('is violated by more than 1.5 times the limit plus 5 requests in a window', () => {
    const over = setUp();
    simulate(10, over);
    expect(over.violations).toEqual([`target-limit ${TARGET}`]);
    const within = setUp();
    simulate(4, within);
    expect(within.violations).toEqual([]);
  });

  it('does not apply to an instance with a fault since it received the limit', () => {
    const faulty = setUp();
    faulty.faultHistory.begin('i-1', 2000)(2500);
    simulate(10, faulty);
    expect(faulty.violations).toEqual([]);
  });
});
