/** At most once, decided in one place: which outcomes allow another send. */
import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { seeded } from '@cardamomladder/load';
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

describe('repeats', () => {
  it('are made only of what may run twice, or surely did not run', () => {
    const kinds: RequestKind[] = ['idempotent', 'download', 'non-idempotent'];
    const table = Object.entries(outcomes).map(
      ([name, outcome]) =>
        `${name}: ${kinds.filter((kind) => shouldRetry(kind, outcome)).join(', ')}`,
    );
    expect(table).toMatchSnapshot();
  });

  it('wait out the longest answers of late, so that work on a new object is not given up', () => {
    // Symptom: lookups of new objects take over a second on a calm day.
    // Sequence: the object is new to its target, which takes 480 ms; at 350 ms
    // the send is given up and the next target starts on it, new as well.
    // Cause: the wait followed the mean of answers from memory.
    const timeouts = [0, 150, 480, 2000].map((ms) => {
      const longest = { ms, answers: 10_000 };
      return retryTimeoutMs(1200, { send: longest, retry: longest });
    });
    expect(timeouts.map((ms) => ms && Math.round(ms))).toEqual([350, 350, 624, undefined]);
    const unknown = { ms: 0, answers: 0 };
    expect(retryTimeoutMs(1200, { send: unknown, retry: unknown })).toBeUndefined();
  });

  it('do not take away an answer that no repeat could bring in time', () => {
    // Symptom: on a calm day one recipe in fifteen gets no answer, each the
    // first one for its object. Sequence: the target works 2.2 s on the new
    // object; after 2.25 of 3 s the send is given up, and the next target, to
    // which the object is new as well, has 0.75 s left. Cause: a repeat was
    // made whether or not it could be answered.
    const uncached = { ms: 2400, answers: 50 };
    const cached = { ms: 900, answers: 50 };
    expect(retryTimeoutMs(3000, { send: uncached, retry: uncached })).toBeUndefined();
    expect(retryTimeoutMs(3000, { send: cached, retry: uncached })).toBeUndefined();
    expect(retryTimeoutMs(12_000, { send: cached, retry: uncached })).toBeCloseTo(1350);
  });

  it('wait longer while few answers are known', () => {
    // Symptom: on a calm day one download in twelve is sent to two targets,
    // each of which starts on a new object. Sequence: an instance of many has
    // had three answers in its memory's time; the next one takes longer than
    // the longest of them. Cause: the longest of three stood for the longest.
    const random = seeded(4);
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
