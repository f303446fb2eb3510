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

  it('wait as long as the target usually takes, and longer the more that varies', () => {
    const waits = [
      silentAfter(1200, undefined),
      silentAfter(1200, { answerMs: 150, deviationMs: 20 }),
      silentAfter(1200, { answerMs: 300, deviationMs: 60 }),
      silentAfter(1200, { answerMs: 600, deviationMs: 250 }),
    ];
    expect(waits).toEqual([900, 350, 540, 900]);
  });
});
