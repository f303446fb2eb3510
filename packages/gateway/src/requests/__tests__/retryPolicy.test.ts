/** At-most-once execution: which outcomes allow a retry, and after what time. */
import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '@cardamomladder/load';
import type { RequestKind } from '@cardamomladder/routing';
import type { AttemptOutcome } from '../../targets/attempt';
import { retryTimeoutMs, shouldRetry } from '../retryPolicy';

const head = (headers: Record<string, string>) => ({ headers }) as unknown as IncomingMessage;
const framed = head({ 'content-length': '2' });
const outcomes: Record<string, AttemptOutcome> = {
  refused: { kind: 'not-run', reason: 'rejected' },
  'wrong target': { kind: 'not-run', reason: 'wrong-target' },
  unreachable: { kind: 'not-run', reason: 'unreachable' },
  closed: { kind: 'lost', reason: 'closed' },
  garbled: { kind: 'lost', reason: 'garbled' },
  timeout: { kind: 'lost', reason: 'timeout' },
  cancelled: { kind: 'lost', reason: 'cancelled' },
  '200': { kind: 'answer', status: 200, head: framed, chunks: [] },
  '500': { kind: 'answer', status: 500, head: framed, chunks: [] },
  '404': { kind: 'answer', status: 404, head: framed, chunks: [] },
  'no length': { kind: 'answer', status: 200, head: head({}), chunks: [] },
};

describe('retries', () => {
  it('are limited to idempotent requests and those that did not run', () => {
    const kinds: RequestKind[] = ['idempotent', 'download', 'non-idempotent'];
    const table = Object.entries(outcomes).map(
      ([name, outcome]) =>
        `${name}: ${kinds.filter((kind) => shouldRetry(kind, outcome)).join(', ')}`,
    );
    expect(table).toMatchSnapshot();
  });

  it('wait for the longest recent response time, so that loading an object is not abandoned', () => {
    // Failure: lookups of uncached objects took over a second without any faults. The
    // target needed 480 ms to load the object, but the send was abandoned after
    // 350 ms for another target without it: the timeout was derived from the mean
    // response time for cached objects.
    const timeouts = [0, 150, 480, 2000].map((ms) => {
      const longest = { ms, answers: 10_000 };
      return retryTimeoutMs(1200, { send: longest, retry: longest });
    });
    expect(timeouts.map((ms) => ms && Math.round(ms))).toEqual([350, 350, 624, undefined]);
    const unknown = { ms: 0, answers: 0 };
    expect(retryTimeoutMs(1200, { send: unknown, retry: unknown })).toBeUndefined();
  });

  it('are not made if they could not finish before the deadline', () => {
    // Failure: without any faults one recipe request in fifteen got no response, each
    // the first for its object. The target needed 2.2 s for an uncached object;
    // after 2.25 of 3 s the send was abandoned, which left 0.75 s to the next
    // target, where the object was uncached too. Retries were made even if they
    // could not finish in time.
    const uncached = { ms: 2400, answers: 50 };
    const cached = { ms: 900, answers: 50 };
    expect(retryTimeoutMs(3000, { send: uncached, retry: uncached })).toBeUndefined();
    expect(retryTimeoutMs(3000, { send: cached, retry: uncached })).toBeUndefined();
    expect(retryTimeoutMs(12_000, { send: cached, retry: uncached })).toBeCloseTo(1350);
  });

  it('wait longer while few response times are known', () => {
    // Failure: without any faults one download in twelve was sent to two targets, and
    // both loaded the object. In a large fleet an instance had only three response
    // times in its window; the next one exceeded their maximum, which was used as
    // if it were the overall maximum.
    const random = seededRandom(4);
    const answerMs = () => 200 - 150 * Math.log(1 - random());
    const rounds = 4000;
    const abandonedShare = (sampleCount: number): number => {
      const abandoned = Array.from({ length: rounds }, () => {
        const ms = Math.max(...Array.from({ length: sampleCount }, answerMs));
        const longest = { ms, answers: sampleCount };
        return answerMs() > (retryTimeoutMs(5000, { send: longest, retry: longest }) ?? Infinity);
      });
      return abandoned.filter(Boolean).length / rounds;
    };
    expect(abandonedShare(3)).toBeLessThan(0.01);
    expect(abandonedShare(10)).toBeLessThan(0.01);
    expect(abandonedShare(100)).toBeLessThan(0.01);
  });
});
