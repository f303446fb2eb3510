/**
 * Handles one request: chooses a target, sends, retries where allowed and
 * useful, and returns one final response no later than the deadline.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { isIdempotent } from '@cardamomladder/routing';
import type { Locality } from '@cardamomladder/steering';
import { describeTargets, place } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { sendGatewayResponse, relay } from './responses';
import type { CallerRequest } from './callerRequest';
import { QUARANTINE_RETRY_AFTER_MS, recordCrashEvidence } from './crashEvidence';
import { MIN_SEND_TIME_MS, retryTimeoutMs, shouldRetry } from './retryPolicy';
import type { Send } from './send';
import { startSend } from './send';
import type { ServeContext, ServeOutcome } from './requestExecution';
import { RequestExecution } from './requestExecution';

type TargetResponse = Extract<AttemptOutcome, { kind: 'answer' }>;

const localityOf = ({ route }: CallerRequest): Locality =>
  route.kind === 'download' ? 'near' : 'balanced';

/** Chooses the next target, or returns the reason for rejecting the request. */
const chooseTarget = (execution: RequestExecution) => {
  const { request, ctx, tried } = execution;
  const { pool, rankings } = ctx.registry.forService(request.service);
  const { route } = request;
  return place(
    {
      key: request.key,
      locality: localityOf(request),
      homeRegions: request.homeRegions,
      objectiveMs: route.latencyObjectiveMs,
      objectiveMissed: request.waitedBeforeMs > (route.latencyObjectiveMs ?? Infinity),
      urgent: execution.urgent,
      tried,
      now: ctx.now(),
    },
    pool,
    rankings,
  );
};

/**
 * Counts the request against the target's rate limit as soon as the target is
 * chosen, as other requests may be placed before this one is sent.
 */
const consumeRateLimit = (
  target: ReachableTarget | undefined,
  { ctx }: RequestExecution,
): ReachableTarget | undefined => {
  target?.placed.selfReport.limit.recordSend(ctx.now());
  return target;
};

/** Chooses the target of a retry, if the request, its deadline and the retry budget allow one. */
const chooseRetryTarget = (
  execution: RequestExecution,
  outcome: AttemptOutcome,
): ReachableTarget | undefined => {
  const { request, ctx, sends } = execution;
  if (execution.ended || !execution.maySendMore || execution.quarantined) return undefined;
  if (!shouldRetry(request.route.kind, outcome)) return undefined;
  if (request.deadlineAt - ctx.now() < MIN_SEND_TIME_MS) return undefined;
  const choice = chooseTarget(execution);
  if (choice.kind === 'rejected') return undefined;
  const target = ctx.registry.get(choice.target.id);
  // A send without a connection put no load on any target, so its retry is free.
  const exemptFromBudget = outcome.kind === 'not-run' && outcome.reason === 'unreachable';
  const granted =
    target &&
    (exemptFromBudget ||
      ctx.retryBudgetOf(request.service).tryWithdraw(ctx.now(), ctx.fleetSize()));
  ctx.metrics.retryBudgetRequests.inc({ granted: granted ? 'yes' : 'no' });
  if (!granted) ctx.log.write('repeat-refused', request.id, { reason: 'budget', sends });
  return granted ? consumeRateLimit(target, execution) : undefined;
};

const TIMED_OUT: AttemptOutcome = { kind: 'lost', reason: 'timeout' };

/** Waits for a response until the retry timeout; then returns the target of a retry, if one is allowed. */
const chooseTargetAfterTimeout = async (
  execution: RequestExecution,
  send: Send,
  { placed }: ReachableTarget,
): Promise<ReachableTarget | undefined> => {
  const { request, ctx } = execution;
  if (!isIdempotent(request.route.kind) || !execution.maySendMore) return undefined;
  const { peakResponseTimes } = ctx.registry.forService(request.service);
  const now = ctx.now();
  const cold = placed.coldUntil > now;
  const waitMs = retryTimeoutMs(request.deadlineAt - now, {
    send: peakResponseTimes[send.likelyCached && !cold ? 'cached' : 'uncached'].estimateAt(now),
    retry: peakResponseTimes.uncached.estimateAt(now),
  });
  if (waitMs === undefined) return undefined;
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<'silent'>((resolve) => {
    timer = setTimeout(() => resolve('silent'), waitMs);
  });
  const first = await Promise.race([send.outcome, timeout]);
  clearTimeout(timer);
  return first === 'silent' ? chooseRetryTarget(execution, TIMED_OUT) : undefined;
};

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
  reason: string,
  retryAfterMs: number,
): ServeOutcome => {
  const { request, res, ctx, sends } = execution;
  ctx.metrics.rejections.inc({ reason });
  ctx.log.write('rejected', request.id, () => ({
    reason,
    sends,
    retryAfterMs: Math.round(retryAfterMs),
    route: request.route.name,
    service: request.service,
    customer: request.customer?.name,
    objectiveMs: request.route.latencyObjectiveMs,
    waitedBeforeMs: Math.round(request.waitedBeforeMs),
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

/** Returns the final response after the last send. */
const finish = async (
  execution: RequestExecution,
  outcome: AttemptOutcome,
  mayHaveRun: boolean,
): Promise<ServeOutcome> => {
  const { request, res, ctx } = execution;
  if (outcome.kind === 'answer')
    return (await relay(res, outcome)) === 'complete' ? 'answered' : 'failed';
  if (outcome.kind === 'not-run' && !mayHaveRun)
    return reject(execution, outcome.reason, REJECTED_RETRY_AFTER_MS);
  const { reason } = outcome;
  if (reason === 'timeout') return timeOut(execution);
  ctx.log.write('failed', request.id, { reason, sends: execution.sends, mayHaveRun });
  sendGatewayResponse(res, { status: 502, message: `no usable answer: ${reason}` });
  return 'failed';
};

/** Sends and retries until there is a response, no further send is allowed, or the request was aborted. */
const sendUntilAnswered = async (execution: RequestExecution): Promise<ServeOutcome> => {
  if (execution.quarantined) return reject(execution, 'quarantined', QUARANTINE_RETRY_AFTER_MS);
  const choice = chooseTarget(execution);
  if (choice.kind === 'rejected') return reject(execution, choice.reason, choice.retryAfterMs);
  let target = consumeRateLimit(execution.ctx.registry.get(choice.target.id), execution);
  let mayHaveRun = false;
  let lastResponse: TargetResponse | undefined;
  while (target) {
    const send = startSend(execution, target);
    const targetAfterTimeout = await chooseTargetAfterTimeout(execution, send, target);
    if (targetAfterTimeout) send.cancel();
    const outcome = await send.outcome;
    await recordCrashEvidence(execution, target, outcome);
    if (execution.ended) return execution.ended;
    mayHaveRun = mayHaveRun || outcome.kind !== 'not-run';
    if (outcome.kind === 'answer') lastResponse = outcome;
    if (outcome.kind === 'not-run' && outcome.reason === 'unreachable')
      execution.countUnreachableSend();
    target = targetAfterTimeout ?? chooseRetryTarget(execution, outcome);
    // An error response from one target is preferred to no response from the next.
    if (!target) return finish(execution, lastResponse ?? outcome, mayHaveRun);
  }
  return reject(execution, 'no-target', REJECTED_RETRY_AFTER_MS);
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
  ctx.retryBudgetOf(request.service).deposit(ctx.now());
  const timeLeftMs = Math.max(0, request.deadlineAt - ctx.now());
  const timer = setTimeout(() => {
    if (!res.headersSent) timeOut(execution);
  }, timeLeftMs);
  const onDisconnect = () => {
    if (res.writableFinished) return;
    ctx.log.write('caller-left', request.id, {
      sends: execution.sends,
      waitedMs: Math.round(ctx.now() - request.arrivedAt),
      allowedMs: Math.round(request.deadlineAt - request.arrivedAt),
    });
    execution.abort('caller-left');
  };
  res.once('close', onDisconnect);
  const outcome = await sendUntilAnswered(execution);
  clearTimeout(timer);
  return outcome;
};
