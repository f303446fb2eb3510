/** Crash evidence recorded from the outcomes of sends. */
import { describe, expect, it } from 'vitest';
import { RecentAnswers, Quarantine } from '@cardamomladder/steering';
import type { IssuedRequest } from '@cardamomladder/types';
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
import type { RequestExecution } from '../requestExecution';

const asked: IssuedRequest = { request: requestDigest('r'), caller: callerDigest('c') };
const answer = (status: number) => ({ kind: 'answer', status }) as AttemptOutcome;

/** Records an outcome of a request that was in progress during two crashes; returns what was reported. */
const record = async (outcome: AttemptOutcome) => {
  const quarantine = new Quarantine(() => 0);
  const recentAnswers = new RecentAnswers(() => 0);
  const reported: IssuedRequest[] = [];
  quarantine.add(
    'north',
    { epoch: storeEpoch(0), revision: 1 },
    {
      crashes: [1, 2].map((n) => ({ run: targetRun(targetId(`t-${n}`), n), requests: [asked] })),
      answered: [],
    },
  );
  const crashReports = { answered: (each: IssuedRequest) => reported.push(each) };
  const ctx = { quarantine, recentAnswers, crashReports };
  const execution = { ctx, asked, requestDigest: asked.request };
  await recordCrashEvidence(
    execution as unknown as RequestExecution,
    {} as ReachableTarget,
    outcome,
  );
  return { reported, answeredRecently: recentAnswers.has(asked.request) };
};

describe('a request that was in progress during crashes', () => {
  it('is cleared by a response', async () => {
    expect(await record(answer(200))).toEqual({ reported: [asked], answeredRecently: true });
    expect(await record(answer(404))).toEqual({ reported: [asked], answeredRecently: true });
  });

  it('is not cleared by an error response or a refusal', async () => {
    // Failure: a request kept crashing targets after the first three. One target
    // failed some requests with 500 before processing them, and any response was
    // taken as proof that the request crashes nothing.
    const nothing = { reported: [], answeredRecently: false };
    expect(await record(answer(500))).toEqual(nothing);
    expect(await record({ kind: 'not-run', reason: 'rejected' })).toEqual(nothing);
  });
});
