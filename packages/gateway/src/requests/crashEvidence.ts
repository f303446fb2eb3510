/** Derives from the outcomes of sends whether a request crashes targets. */
import { MIN_CRASHES_PER_CAUSE } from '@cardamomladder/steering';
import { sleep } from '@cardamomladder/types';
import type { AttemptOutcome } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { FIRST_SERVER_ERROR } from './retryPolicy';
import type { RequestExecution } from './requestExecution';

/** Retry-After of quarantined requests, ms: a request quarantined on suspicion alone is released within two minutes. */
export const QUARANTINE_RETRY_AFTER_MS = 30_000;
/** How long a retry of a suspected request waits for the crash check, ms: the round trip between any two regions, with a margin for a busy instance. */
const CRASH_CHECK_TIMEOUT_MS = 100;
/** A response to a request is reported once this many crashes are attributed to the request: one more crash without a response would quarantine it at all instances. */
const MIN_CRASHES_TO_REPORT_RESPONSE = MIN_CRASHES_PER_CAUSE - 1;

/** Checks whether the target crashed; never rejects. */
const checkForCrash = async (
  execution: RequestExecution,
  target: ReachableTarget,
): Promise<void> => {
  const { ctx, request } = execution;
  try {
    await ctx.crashes.checkClosedConnection(target, execution.asked);
  } catch (error) {
    ctx.log.write('target-crashed', request.id, { problem: (error as Error).message });
  }
};

/**
 * Records the outcome of a send as evidence. Retries aren't delayed in general,
 * as nearly all requests whose connection closed crash nothing. Only the retry
 * of a suspected request waits for the crash check, as it could otherwise crash
 * another target before this crash is counted.
 */
export const recordCrashEvidence = async (
  execution: RequestExecution,
  target: ReachableTarget,
  outcome: AttemptOutcome,
): Promise<void> => {
  const { quarantine, recentAnswers, crashReports } = execution.ctx;
  if (outcome.kind === 'lost' && outcome.reason === 'closed') {
    const crashCheck = checkForCrash(execution, target);
    if (quarantine.crashCount(execution.asked) > 0)
      await Promise.race([crashCheck, sleep(CRASH_CHECK_TIMEOUT_MS)]);
    return;
  }
  // A target that fails some of its requests may respond with an error before it processes them.
  if (outcome.kind !== 'answer' || outcome.status >= FIRST_SERVER_ERROR) return;
  recentAnswers.add(execution.requestDigest);
  if (
    !quarantine.isEmpty &&
    quarantine.crashCount(execution.asked) >= MIN_CRASHES_TO_REPORT_RESPONSE
  )
    crashReports.answered(execution.asked);
};
