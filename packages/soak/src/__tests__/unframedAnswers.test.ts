/** The check that no part of an answer without a length looks whole to its caller. */
import { beforeEach, describe, expect, it } from 'vitest';
import { UNFRAMED_KINDS, planUnframedAnswers } from '../plan';
import type { UnframedRequest } from '../unframedAnswers';
import { UnframedAnswerChecker } from '../unframedAnswers';

const WHOLE = { status: 200, id: 'r', bytes: 9, isWhole: true, isExpected: true };
const request = (answer?: UnframedRequest['answer'], id = 'r'): UnframedRequest => ({
  id,
  kind: 'lookup',
  instance: 'i',
  answer,
});

let violations: string[];
let checker: UnframedAnswerChecker;

beforeEach(() => {
  violations = [];
  checker = new UnframedAnswerChecker((guarantee, subject, detail) =>
    violations.push(`${guarantee} ${subject}: ${detail}`),
  );
});

describe('answers without a length', () => {
  it('may be whole, failures, broken off or missing', () => {
    checker.record(request(WHOLE));
    checker.record(request({ ...WHOLE, status: 502, isExpected: false }, 's'));
    checker.record(request({ ...WHOLE, isWhole: false, isExpected: false }, 't'));
    checker.record(request(undefined, 'u'));
    expect(violations).toEqual([]);
    expect(checker.counts).toMatchObject({ lookups: 4, bookings: 0, served: 1 });
  });

  it.each([200, 201])(
    'are a violation if they look whole with status %i and are not, or are of another request',
    (status) => {
      checker.record(request({ ...WHOLE, status, bytes: 4, isExpected: false }));
      checker.record({ ...request({ ...WHOLE, status, id: 's', bytes: 0 }, 's'), kind: 'booking' });
      checker.record(request({ ...WHOLE, status }, 't'));
      checker.record(request({ ...WHOLE, status, id: 'u', bytes: 0, isExpected: false }, 'u'));
      expect(violations).toEqual([
        "mixed r: 4 bytes from i look whole and aren't the target's body",
        'mixed t: the answer from i is that of r',
        "mixed u: 0 bytes from i look whole and aren't the target's body",
      ]);
    },
  );

  it('are counted if they were sent whole and their callers were not served', () => {
    ['r', 's', 't', 'u'].forEach((id) => checker.recordSentWhole(id));
    checker.record(request(WHOLE));
    checker.record(request({ ...WHOLE, id: 's', status: 502 }, 's'));
    checker.record({ ...request(undefined, 't'), kind: 'booking' });
    checker.record(request({ ...WHOLE, id: 'v', status: 502 }, 'v'));
    expect(violations).toEqual([]);
    expect(checker.counts).toMatchObject({ served: 1, refusedLookups: 1, refusedBookings: 1 });
  });
});

describe('planUnframedAnswers', () => {
  it('returns one to three times of a seed, the same each time', () => {
    const TOTAL_MS = 15_000;
    const plans = Array.from({ length: 50 }, (_, seed) => planUnframedAnswers(seed, TOTAL_MS));
    expect(plans).toEqual(plans.map((_, seed) => planUnframedAnswers(seed, TOTAL_MS)));
    expect(new Set(plans.map(({ length }) => length))).toEqual(new Set([1, 2, 3]));
    const all = plans.flat();
    expect(all.every(({ atMs, forMs }) => atMs >= 0 && atMs + forMs <= TOTAL_MS)).toBe(true);
    expect(new Set(all.map(({ kind }) => kind))).toEqual(new Set(UNFRAMED_KINDS));
  });
});
