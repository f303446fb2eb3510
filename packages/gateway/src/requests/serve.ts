/**
 * Handles one request: chooses a target, sends, retries where allowed and
 * useful, and returns one final response no later than the deadline.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { breakOff, isFramed } from '@cardamomladder/http-json';
import { describeTargets } from '@cardamomladder/steering';
import { CUT_OFF_HEADER } from '../reach/forwardedRequest';
import { pendingOn } from '../server/callerConnections';
import type { AttemptOutcome } from '../targets/attempt';
import { STOPPING, relay, sendGatewayResponse } from './responses';
import type { Refusal } from './firstSend';
import type { CallerRequest } from './callerRequest';
import type { Destination } from './destination';
import { localityOf } from './destination';
import { describeOverShare } from './fairShares';
import { startForward } from './forward';
import { QUARANTINE_RETRY_AFTER_MS, recordCrashEvidence } from './crashEvidence';
import { chooseRetry, isRefusedForRoom, reachedNoTarget } from './chooseRetry';
import { announceExecution } from './openRequests';
import { remainingTime } from './remainingTime';
import { shouldRetry } from './retryPolicy';
import { chooseRetryWhileWaiting } from './retryWhileWaiting';
import type { Send } from './send';
import { isUnsent, startSend } from './send';
import type { ServeContext, ServeOutcome } from './requestExecution';
import { RequestExecution } from './requestExecution';

type TargetResponse = Extract<AttemptOutcome, { kind: 'answer' }>;

/** Retry-After when all targets refused the request or were unreachable, ms. */
const REJECTED_RETRY_AFTER_MS = 150;

/** The input of the placement decision, for the log: targets, age of their load reports, and versions in use. */
const placementDetails = ({ request, ctx }: RequestExecution) => {
  const { pool, rankings } = ctx.registry.forService(request.service);
  return {
    targets: describeTargets(request.key, localityOf(request), pool, rankings, ctx.now()),
    known: pool.targets.length,
    ...ctx.versions(),
  };
};

const reject = (
  execution: RequestExecution,
  { reason, retryAfterMs, admission }: Omit<Refusal, 'kind'>,
): ServeOutcome => {
  const { request, res, ctx, sends } = execution;
  ctx.metrics.rejections.inc({ reason });
  if (request.isForwarded) {
    res.setHeader(ctx.wire.headers.notRun, '1');
    // Another peer may serve it.
    if (ctx.reach.isCutOff || reason === STOPPING)
      res.setHeader(CUT_OFF_HEADER, ctx.peers.servingPeer ?? '');
  }
  ctx.log.write('rejected', request.id, () => ({
    reason,
    sends,
    retryAfterMs: Math.round(retryAfterMs),
    ...admission,
    route: request.route.name,
    service: request.service,
    customer: request.customer?.name,
    objectiveMs: request.route.latencyObjectiveMs,
    waitedBeforeMs: Math.round(request.waitedBeforeMs),
    ...describeOverShare(execution),
    ...(reason === STOPPING ? remainingTime(execution) : {}),
    ...placementDetails(execution),
  }));
  sendGatewayResponse(res, { status: 503, message: `not run: ${reason}`, retryAfterMs });
  return 'rejected';
};

/** Ends the request at its deadline. */
const timeOut = (execution: RequestExecution): ServeOutcome => {
  const { request, ctx } = execution;
  ctx.log.write('timed-out', request.id, {
    sends: execution.sends,
    tried: [...execution.tried],
    waitedMs: Math.round(ctx.now() - request.arrivedAt),
  });
  execution.abort('timed-out');
  return 'timed-out';
};

/** Rejects a request that did not run; the caller is told what a peer says, or when this instance knows more. */
const rejectNotRun = (
  execution: RequestExecution,
  outcome: Extract<AttemptOutcome, { kind: 'not-run' }>,
  { kind }: Destination,
): ServeOutcome => {
  const { reason, restMs } = outcome;
  const { reach, admission } = execution.ctx;
  if (reach.isIsolated)
    return reject(execution, { reason: 'cut-off', retryAfterMs: reach.retryAfterMs });
  if (kind === 'peer' && restMs !== undefined)
    return reject(execution, { reason, retryAfterMs: restMs });
  const retryAfterMs = isRefusedForRoom(outcome)
    ? admission.retryAfterMs(execution, REJECTED_RETRY_AFTER_MS)
    : REJECTED_RETRY_AFTER_MS;
  return reject(execution, { reason, retryAfterMs });
};

/** Logs a response without framing, whose end was that of its connection. */
const logUnframed = (
  execution: RequestExecution,
  { head, chunks, remaining }: TargetResponse,
): void => {
  const { request, req, ctx, sends } = execution;
  if (isFramed(head, request.method)) return;
  ctx.log.write('unframed', request.id, () => ({
    tried: [...execution.tried],
    sends,
    bytes: chunks.reduce((sum, { length }) => sum + length, 0),
    isBuffered: remaining === undefined,
    pending: pendingOn(req.socket),
  }));
};

/** Returns the final response after the last send. */
const finish = async (
  execution: RequestExecution,
  outcome: AttemptOutcome,
  destination: Destination,
): Promise<ServeOutcome> => {
  const { request, res, ctx, mayHaveRun } = execution;
  if (outcome.kind === 'answer') {
    execution.recordAnswer();
    logUnframed(execution, outcome);
    const { deadlineAt, callerLeavesAt: deliveredBy } = request;
    const limits = { now: ctx.now, deadlineAt, deliveredBy };
    return (await relay(res, outcome, limits)) === 'complete' ? 'answered' : 'failed';
  }
  if (outcome.kind === 'not-run' && !mayHaveRun)
    return rejectNotRun(execution, outcome, destination);
  const { reason } = outcome;
  if (reason === 'timeout') return timeOut(execution);
  ctx.log.write('failed', request.id, { reason, sends: execution.sends, mayHaveRun });
  sendGatewayResponse(res, { status: 502, message: `no usable answer: ${reason}` });
  return 'failed';
};

const startSendTo = (execution: RequestExecution, destination: Destination): Send => {
  const { request, ctx } = execution;
  const withdrawal = execution.takeWithdrawal();
  const send =
    destination.kind === 'peer'
      ? startForward(execution, destination.peer)
      : startSend(execution, destination.target);
  const ended = (outcome: AttemptOutcome) => {
    if (isUnsent(outcome)) withdrawal?.refund();
    if (destination.kind === 'peer') return;
    ctx.admission.sendEnded(request.service, outcome.kind === 'answer' ? send.tookMs() : undefined);
  };
  send.outcome.then(ended, () => {});
  return send;
};

/** True if another destination would say the same: a peer that reaches the targets found none for the request. */
const isFinal = (outcome: AttemptOutcome, { kind }: Destination): boolean =>
  kind === 'peer' && outcome.kind === 'not-run' && outcome.reason === 'rejected';

/** Sends and retries until there is a response, no further send is allowed, or the request was aborted. */
const sendUntilAnswered = async (execution: RequestExecution): Promise<ServeOutcome> => {
  const { request, ctx } = execution;
  const endedUnsent = await execution.endedBeforeSend();
  if (endedUnsent) return endedUnsent;
  if (execution.quarantined)
    return reject(execution, { reason: 'quarantined', retryAfterMs: QUARANTINE_RETRY_AFTER_MS });
  const admitted = ctx.admission.firstSend(execution, startSendTo);
  const first = admitted instanceof Promise ? await admitted : admitted;
  if (first.kind === 'rejected') return execution.ended ?? reject(execution, first);
  let { destination, send } = first;
  let lastResponse: TargetResponse | undefined;
  for (;;) {
    const retryWhileWaiting = await chooseRetryWhileWaiting(execution, send, destination);
    if (retryWhileWaiting) send.cancel();
    const outcome = await send.outcome;
    if (destination.kind === 'target')
      await recordCrashEvidence(execution, destination.target, outcome);
    if (execution.ended) return execution.ended;
    execution.recordSendEnd(outcome);
    if (outcome.kind === 'answer') lastResponse = outcome;
    // A response may arrive while the retry waits for the budget.
    if (
      retryWhileWaiting &&
      outcome.kind === 'answer' &&
      !shouldRetry(request.route.kind, outcome, request.method)
    )
      return finish(execution, outcome, destination);
    if (reachedNoTarget(outcome)) execution.countUnreachableSend();
    const retry =
      retryWhileWaiting ??
      (isFinal(outcome, destination) ? undefined : await chooseRetry(execution, outcome));
    if (execution.ended) return execution.ended;
    // An error response from one target is preferred to no response from the next.
    if (!retry) return finish(execution, lastResponse ?? outcome, destination);
    const ended = await execution.endedBeforeSend();
    if (ended) {
      if (retry.kind === 'target') retry.target.placed.selfReport.limit.cancelSend(ctx.now());
      return ended;
    }
    destination = retry;
    send = startSendTo(execution, destination);
  }
};

/** Ends a request after an exception; it may have run unless nothing was sent. */
const fail = (execution: RequestExecution, { message, stack }: Error): ServeOutcome => {
  const { request, res, ctx, sends } = execution;
  ctx.log.write('failed', request.id, { reason: message, sends, stack });
  execution.endEarly();
  if (res.headersSent) breakOff(res);
  else sendGatewayResponse(res, { status: 502, message: 'internal error' });
  return 'failed';
};

/** Handles one request to completion; never rejects. */
export const serve = async (
  request: CallerRequest,
  req: IncomingMessage,
  res: ServerResponse,
  ctx: ServeContext,
  span: Span,
): Promise<ServeOutcome> => {
  const execution = new RequestExecution(request, req, res, ctx, span);
  announceExecution(execution);
  // The instance that forwarded a request has counted it already.
  if (!request.isForwarded) ctx.retriesOf(request.service).countRequest();
  const timeLeftMs = Math.max(0, request.deadlineAt - ctx.now());
  const timer = setTimeout(() => {
    if (!res.headersSent) timeOut(execution);
  }, timeLeftMs);
  const onDisconnect = () => {
    if (res.writableFinished) return;
    execution.connectionLost();
  };
  res.once('close', onDisconnect);
  try {
    return await sendUntilAnswered(execution);
  } catch (error) {
    return fail(execution, error as Error);
  } finally {
    clearTimeout(timer);
    execution.takeWithdrawal()?.refund();
  }
};
