/** What a send tells of whether its request crashes targets. */
import { CRASHES_OF_A_CAUSE } from '@cardamomladder/steering';
import { pause } from '@cardamomladder/types';
import type { AttemptOutcome } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { FIRST_SERVER_ERROR } from './repeatPolicy';
import type { Serving } from './serving';

/** When a caller whose request is held may try again, ms: one that is held on suspicion alone is let go within two minutes. */
export const TRY_AGAIN_MS = 30_000;
/** How long a repeat of a suspected request waits to hear whether its target crashed, ms: the way there and back between any two regions, and some for a busy instance. */
const HEAR_WITHIN_MS = 100;
/** From so many crashes under a request an answer to it is reported: one more without it and the request would be held everywhere. */
const ANSWERS_TELL_FROM = CRASHES_OF_A_CAUSE - 1;

/** Has it looked into whether the target crashed; never rejects. */
const witness = async (serving: Serving, target: ReachableTarget): Promise<void> => {
  const { ctx, request } = serving;
  try {
    await ctx.crashes.closedUnder(target, serving.asked);
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
export const takeEvidence = async (
  serving: Serving,
  target: ReachableTarget,
  outcome: AttemptOutcome,
): Promise<void> => {
  const { quarantine, answeredLately, crashReports } = serving.ctx;
  if (outcome.kind === 'lost' && outcome.reason === 'closed') {
    const heard = witness(serving, target);
    if (quarantine.crashesUnder(serving.asked) > 0)
      await Promise.race([heard, pause(HEAR_WITHIN_MS)]);
    return;
  }
  // A target that fails part of its requests may answer before it works on one.
  if (outcome.kind !== 'answer' || outcome.status >= FIRST_SERVER_ERROR) return;
  answeredLately.note(serving.what);
  if (!quarantine.idle && quarantine.crashesUnder(serving.asked) >= ANSWERS_TELL_FROM)
    crashReports.answered(serving.asked);
};
