/** What a send tells of whether its request crashes targets. */
import { CRASHES_OF_A_CAUSE } from '@cardamomladder/steering';
import { pause } from '@cardamomladder/types';
import type { AttemptOutcome } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { FIRST_SERVER_ERROR } from './retryPolicy';
import type { RequestExecution } from './serving';

/** When a caller whose request is held may try again, ms: one that is held on suspicion alone is let go within two minutes. */
export const QUARANTINE_RETRY_AFTER_MS = 30_000;
/** How long a repeat of a suspected request waits to hear whether its target crashed, ms: the way there and back between any two regions, and some for a busy instance. */
const CRASH_CHECK_TIMEOUT_MS = 100;
/** From so many crashes under a request an answer to it is reported: one more without it and the request would be held everywhere. */
const MIN_CRASHES_TO_REPORT_RESPONSE = CRASHES_OF_A_CAUSE - 1;

/** Has it looked into whether the target crashed; never rejects. */
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
 * Takes a send's outcome. A repeat goes out at once, as nearly all requests
 * whose connection closed crash nothing; only that of a suspected one waits
 * until it is known whether this was a crash too, or it would end one more
 * target before the crash counts.
 */
export const recordCrashEvidence = async (
  execution: RequestExecution,
  target: ReachableTarget,
  outcome: AttemptOutcome,
): Promise<void> => {
  const { quarantine, answeredLately, crashReports } = execution.ctx;
  if (outcome.kind === 'lost' && outcome.reason === 'closed') {
    const crashCheck = checkForCrash(execution, target);
    if (quarantine.crashesUnder(execution.asked) > 0)
      await Promise.race([crashCheck, pause(CRASH_CHECK_TIMEOUT_MS)]);
    return;
  }
  // A target that fails part of its requests may answer before it works on one.
  if (outcome.kind !== 'answer' || outcome.status >= FIRST_SERVER_ERROR) return;
  answeredLately.note(execution.requestDigest);
  if (
    !quarantine.idle &&
    quarantine.crashesUnder(execution.asked) >= MIN_CRASHES_TO_REPORT_RESPONSE
  )
    crashReports.answered(execution.asked);
};
