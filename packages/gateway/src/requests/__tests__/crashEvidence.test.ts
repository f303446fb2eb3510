/** What the outcome of a send says of its request. */
import { describe, expect, it } from 'vitest';
import { AnsweredLately, Quarantine } from '@cardamomladder/steering';
import type { AskedRequest } from '@cardamomladder/types';
import {
  callerDigest,
  requestDigest,
  storeEpoch,
  targetId,
  targetRun,
} from '@cardamomladder/types';
import type { AttemptOutcome } from '../../targets/attempt';
import type { ReachableTarget } from '../../targets/registry';
import { recordCrashEvidence } from '../crashEvidence';
import type { RequestExecution } from '../serving';

const asked: AskedRequest = { request: requestDigest('r'), caller: callerDigest('c') };
const answer = (status: number) => ({ kind: 'answer', status }) as AttemptOutcome;

/** Takes an outcome of a request that was under way at two crashes; what is told of it. */
const record = async (outcome: AttemptOutcome) => {
  const quarantine = new Quarantine(() => 0);
  const answeredLately = new AnsweredLately(() => 0);
  const reported: AskedRequest[] = [];
  quarantine.file(
    'north',
    { epoch: storeEpoch(0), revision: 1 },
    {
      crashes: [1, 2].map((n) => ({ run: targetRun(targetId(`t-${n}`), n), requests: [asked] })),
      answered: [],
    },
  );
  const crashReports = { answered: (each: AskedRequest) => reported.push(each) };
  const ctx = { quarantine, answeredLately, crashReports };
  const execution = { ctx, asked, requestDigest: asked.request };
  await recordCrashEvidence(
    execution as unknown as RequestExecution,
    {} as ReachableTarget,
    outcome,
  );
  return { reported, answeredRecently: answeredLately.has(asked.request) };
};

describe('a request that was under way at crashes', () => {
  it('is cleared by an answer', async () => {
    expect(await record(answer(200))).toEqual({ reported: [asked], answeredRecently: true });
    expect(await record(answer(404))).toEqual({ reported: [asked], answeredRecently: true });
  });

  it('is not cleared by a failure or a refusal', async () => {
    // Symptom: a request goes on crashing targets after three of them.
    // Sequence: among the targets is one that fails part of its requests before
    // it works on them; it answers 500 to this one. Cause: any answer was taken
    // as proof that the request crashes nothing.
    const nothing = { reported: [], answeredRecently: false };
    expect(await record(answer(500))).toEqual(nothing);
    expect(await record({ kind: 'not-run', reason: 'rejected' })).toEqual(nothing);
  });
});
