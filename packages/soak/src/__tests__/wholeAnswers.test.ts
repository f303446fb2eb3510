import { beforeEach, describe, expect, it } from 'vitest';
import { FaultHistory } from '../faultHistory';
import type { PipelinedRequest } from '../wholeAnswers';
import { WholeAnswerChecker } from '../wholeAnswers';

const WHOLE = { status: 200, bytes: 9, isWhole: true, isExpected: true };
const request = (answer?: PipelinedRequest['answer']): PipelinedRequest => ({
  id: 'r',
  instance: 'i',
  sentAt: 10_000,
  endedAt: 10_500,
  answer,
});

let faultHistory: FaultHistory;
let violations: string[];
let checker: WholeAnswerChecker;

beforeEach(() => {
  faultHistory = new FaultHistory();
  violations = [];
  checker = new WholeAnswerChecker(faultHistory, (guarantee, subject, detail) =>
    violations.push(`${guarantee} ${subject}: ${detail}`),
  );
});

describe('answers to callers that write before they have read', () => {
  it('may be whole, or missing if no target ran the request', () => {
    checker.record(request(WHOLE));
    checker.checkRun('r', 't');
    checker.record({ ...request(), id: 'other' });
    expect(violations).toEqual([]);
    expect(checker.count).toBe(2);
  });

  it('are a violation if they are incomplete, of another request, or missing', () => {
    checker.record(request({ ...WHOLE, isWhole: false, isExpected: false }));
    checker.record({ ...request({ ...WHOLE, isExpected: false }), id: 's' });
    checker.record({ ...request(), id: 't' });
    checker.checkRun('t', 'target');
    expect(violations).toEqual([
      'whole r: 9 bytes of an answer with status 200 from i',
      'mixed s: the body is not that of the request',
      'lost t: ran at target, no answer from i',
    ]);
  });

  it('are excused by a fault of the instance, but of the target only if they are missing', () => {
    faultHistory.begin('target', 9000)(9500);
    checker.record(request({ ...WHOLE, isWhole: false, isExpected: false }));
    checker.record({ ...request(), id: 't' });
    checker.checkRun('t', 'target');
    expect(violations).toHaveLength(1);
    faultHistory.begin('i', 10_200);
    checker.record({ ...request({ ...WHOLE, isWhole: false }), id: 'u' });
    expect(violations).toHaveLength(1);
  });
});
