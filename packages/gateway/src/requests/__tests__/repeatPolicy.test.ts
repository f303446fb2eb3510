/** At most once, decided in one place: which outcomes allow another send. */
import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import type { RequestKind } from '@cardamomladder/routing';
import type { AttemptOutcome } from '../../targets/attempt';
import { silentAfter, worthRepeating } from '../repeatPolicy';

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
        `${name}: ${kinds.filter((kind) => worthRepeating(kind, outcome)).join(', ')}`,
    );
    expect(table).toMatchSnapshot();
  });

  it('wait out the longest answers of late, so that work on a new object is not given up', () => {
    // Symptom: lookups of new objects take over a second on a calm day.
    // Sequence: the object is new to its target, which takes 480 ms; at 350 ms
    // the send is given up and the next target starts on it, new as well.
    // Cause: the wait followed the mean of answers from memory.
    const waits = [0, 150, 480, 2000].map((longestMs) => silentAfter(1200, longestMs));
    expect(waits).toEqual([900, 350, 624, 900]);
  });
});
