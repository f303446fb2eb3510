/** Decides whether a request is sent once more, and where. */
import type { AttemptOutcome } from '../targets/attempt';
import type { NotRunReason } from '../targets/responseChecks';
import type { Destination } from './destination';
import { chooseDestination } from './destination';
import type { RequestExecution } from './requestExecution';
import { MIN_SEND_TIME_MS, shouldRetry } from './retryPolicy';

/**
 * Counts the request against the target's rate limit as soon as the target is
 * chosen, as other requests may be placed before this one is sent.
 */
export const consumeRateLimit = (
  destination: Destination,
  { ctx }: RequestExecution,
): Destination => {
  if (destination.kind === 'target')
    destination.target.placed.selfReport.limit.recordSend(ctx.now());
  return destination;
};

/** Reasons for which a send put no load on any target. */
const REACHED_NONE: ReadonlySet<NotRunReason> = new Set(['unreachable', 'cut-off', 'unsendable']);

/** True if the send put no load on any target. */
export const reachedNoTarget = (outcome: AttemptOutcome): boolean =>
  outcome.kind === 'not-run' && REACHED_NONE.has(outcome.reason);

/** True if the request and its deadline allow a retry after the outcome. */
const mayRetry = (execution: RequestExecution, outcome: AttemptOutcome): boolean => {
  const { request, ctx } = execution;
  if (execution.ended || !execution.maySendMore || execution.quarantined) return false;
  if (!shouldRetry(request.route.kind, outcome, request.method)) return false;
  return request.deadlineAt - ctx.now() >= MIN_SEND_TIME_MS;
};

/** Chooses the destination of a retry, if the request and its deadline allow one and there is a destination. */
const chooseRetryDestination = (
  execution: RequestExecution,
  outcome: AttemptOutcome,
): Destination | undefined => {
  if (!mayRetry(execution, outcome)) return undefined;
  const choice = chooseDestination(execution);
  return choice.kind === 'rejected' ? undefined : choice;
};

/** True if a target refused the request while all its slots were in use: a faulty one refuses with slots to spare, and others may take the request at once. */
export const isRefusedForRoom = ({
  reason,
  load,
}: Extract<AttemptOutcome, { kind: 'not-run' }>): boolean =>
  reason === 'rejected' && (load === undefined || load.running >= load.slots);

/** Chooses the destination of a retry, if there is one and the retry budget allows it. */
export const chooseRetry = async (
  execution: RequestExecution,
  outcome: AttemptOutcome,
): Promise<Destination | undefined> => {
  const { request, ctx, sends } = execution;
  if (outcome.kind === 'not-run' && isRefusedForRoom(outcome)) ctx.fairShares.refused(execution);
  if (!mayRetry(execution, outcome) || (await execution.endedBeforeSend())) return undefined;
  const destination = chooseRetryDestination(execution, outcome);
  if (!destination) return undefined;
  const retries = ctx.retriesOf(request.service);
  // A send that reached no target put no load on any, so its retry is free.
  if (reachedNoTarget(outcome)) {
    retries.countFreeRepeat();
    return consumeRateLimit(destination, execution);
  }
  const atHand = retries.tryWithdraw();
  if (atHand) {
    execution.recordWithdrawal(atHand);
    return consumeRateLimit(destination, execution);
  }
  const withdrawal = await retries.withdraw();
  if (!withdrawal) {
    ctx.log.write('repeat-refused', request.id, { reason: 'budget', sends });
    return undefined;
  }
  // The targets may have changed meanwhile.
  execution.recordWithdrawal(withdrawal);
  await execution.endedBeforeSend();
  const later = chooseRetryDestination(execution, outcome);
  if (!later) execution.takeWithdrawal()?.refund();
  return later && consumeRateLimit(later, execution);
};
