/** What a send that Node.js refuses leaves behind: nothing. */
import { describe, expect, it } from 'vitest';
import { MemoryBudget } from '@cardamomladder/http-json';
import { ReportStaleness, RetryBudget, newTarget } from '@cardamomladder/steering';
import {
  failureDomainName,
  regionName,
  serviceName,
  socketAddress,
  targetId,
} from '@cardamomladder/types';
import { trace } from '@opentelemetry/api';
import { TargetConnections } from '../../targets/connections';
import { IdleLimit } from '../../targets/idleLimit';
import type { ReachableTarget } from '../../targets/registry';
import type { RequestExecution } from '../requestExecution';
import { startSend } from '../send';

const NOW = 10_000;
const now = () => NOW;
const BOUND = { ratio: 1, extra: 0, windowMs: 10_000 };

const coldTarget = (): ReachableTarget => {
  const placed = newTarget(
    {
      id: targetId('t-1'),
      service: serviceName('lookups'),
      address: socketAddress('127.0.0.1:9'),
      failureDomain: failureDomainName('north-a'),
      region: regionName('north'),
      slots: 4,
    },
    new ReportStaleness(() => 1),
  );
  placed.coldUntil = NOW + 1000;
  const connections = new TargetConnections(2, now, new IdleLimit());
  return {
    placed,
    host: '127.0.0.1',
    port: 9,
    connections: () => connections,
  } as unknown as ReachableTarget;
};

/** An execution whose request has a path that can't be sent. */
const unsendableExecution = (ended: string[]): RequestExecution => {
  const peak = { estimateAt: () => ({ ms: 0, answers: 0 }), record: () => {} };
  const service = { peakResponseTimes: { cached: peak, uncached: peak }, pace: { enabled: false } };
  return {
    request: {
      id: 'r-1',
      key: 'object-1',
      method: 'GET',
      path: '/a b',
      service: 'lookups',
      route: { kind: 'idempotent' },
      deadlineAt: NOW + 1000,
    },
    req: { headers: {} },
    ctx: {
      wire: { headers: { customer: 'x-customer', waitMs: 'x-wait', onlyTarget: 'x-only' } },
      apiKeysRequired: () => false,
      registry: { forService: () => service },
      reach: {
        startSend: () => ({ openedConnection: () => {}, end: (end: string) => ended.push(end) }),
      },
      metrics: { attempts: { inc: () => {} } },
      log: { write: () => {} },
      now,
    },
    openAnswerMemory: () => new MemoryBudget(1).open(),
    span: trace.getTracer('test').startSpan('test'),
    countSend: () => {},
    setCurrentAttempt: () => {},
  } as unknown as RequestExecution;
};

describe('a send that Node.js refuses', () => {
  it('takes back what had begun before it', async () => {
    // Guards against targets that seem busy, silent, paced or used up by requests they never got.
    const target = coldTarget();
    const { load, coldSends, selfReport, unanswered, cachedObjects, avoidUntil } = target.placed;
    selfReport.limit.observe({ perSecond: 1, ran: true, sentAt: NOW }, NOW);
    const share = { intervalMs: 1000, initialDelayFraction: 1 };
    const waitMs = selfReport.limit.waitMs(share, NOW + 900);
    selfReport.limit.recordSend(NOW);
    const ended: string[] = [];
    const { outcome } = startSend(unsendableExecution(ended), target);
    expect(await outcome).toMatchObject({ kind: 'not-run', reason: 'unsendable' });
    expect(load.ownRequests).toBe(0);
    expect(coldSends.total(NOW)).toBe(0);
    expect(selfReport.limit.sentLately(NOW)).toBe(0);
    expect(selfReport.limit.waitMs(share, NOW + 900)).toBe(waitMs);
    expect(unanswered.isUnresponsive(NOW + 100_000)).toBe(false);
    expect(cachedObjects.has('object-1' as never)).toBe(false);
    expect(target.placed).toMatchObject({ avoidUntil, failures: 0 });
    expect(ended).toEqual(['unknown']);
  });

  it.each(['earned', 'claimed'])('puts a repeat back that was %s', (kind) => {
    // Guards against a budget that is used up by repeats no target got.
    const budget = new RetryBudget(BOUND, () => 0);
    if (kind === 'claimed') budget.addClaimed(1, NOW + 1000);
    else {
      budget.allowEarned(0);
      Array.from({ length: 4 }, () => budget.deposit(NOW));
    }
    const taken = Array.from({ length: 10 }, () => budget.take(NOW)).filter((each) => each);
    expect(taken.length).toBeGreaterThan(0);
    taken[0]?.();
    expect(budget.tryWithdraw(NOW)).toBe(true);
    expect(budget.tryWithdraw(NOW)).toBe(false);
  });
});
