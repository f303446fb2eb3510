/** Sends a request to one target: sets its headers, tracks load, and records the outcome. */
import type { OutgoingHttpHeaders } from 'node:http';
import { SpanKind, context, trace } from '@opentelemetry/api';
import { toHeaderValue } from '@cardamomladder/http-json';
import { isIdempotent } from '@cardamomladder/routing';
import { atUsualPace, lateAfterMs, overdueAfterMs } from '@cardamomladder/steering';
import { tracer } from '@cardamomladder/telemetry';
import type { SendEnd } from '../reach/reachMonitor';
import { FORWARDED_HEADER } from '../reach/forwardedRequest';
import type { AttemptOutcome } from '../targets/attempt';
import { isAborted, sendAttempt } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { CREDENTIALS_HEADER } from '../wireProtocol';
import { forwardedHeaders } from './responses';
import type { RequestExecution } from './requestExecution';
import { applyStatement } from './targetStatements';
import { recordOutcome } from './targetHealth';

const spans = tracer('gateway');

const sendHeaders = (execution: RequestExecution, target: ReachableTarget): OutgoingHttpHeaders => {
  const { request, req, ctx } = execution;
  const names = ctx.wire.headers;
  const headers = forwardedHeaders(req);
  delete headers.expect;
  if (request.isForwarded) delete headers[FORWARDED_HEADER];
  if (ctx.apiKeysRequired()) {
    delete headers[CREDENTIALS_HEADER];
    delete headers[names.customer];
  }
  if (request.customer) headers[names.customer] = toHeaderValue(request.customer.name);
  headers[names.waitMs] = Math.max(1, Math.floor(request.deadlineAt - ctx.now()));
  headers[names.onlyTarget] = target.placed.id;
  if (request.body) headers['content-length'] = request.body.length;
  return headers;
};

const problemOf = (outcome: AttemptOutcome): string | undefined =>
  outcome.kind === 'not-run' ? outcome.problem : undefined;

const logSend = (
  execution: RequestExecution,
  { placed }: ReachableTarget,
  { name, problem }: { name: string; problem: string | undefined },
  ms: number,
): void => {
  const { request, ctx, sends } = execution;
  const { load } = placed;
  ctx.log.write('send', request.id, () => ({
    target: placed.id,
    send: sends,
    result: name,
    problem,
    ms: Math.round(ms),
    busy: load.ownRequests + load.otherRequests,
    slots: placed.slots,
    loadAgeMs: load.reportedAt === undefined ? undefined : Math.round(ctx.now() - load.reportedAt),
    asked: execution.asked,
  }));
};

/** A send in progress; `outcome` resolves after it has been recorded. */
export interface Send {
  outcome: Promise<AttemptOutcome>;
  /** True if the target had been sent the object before, so that it is likely cached. */
  likelyCached: boolean;
  sentAt: number;
  /** True once the request may run at the target. */
  isConnected: () => boolean;
  /** True while its response has arrived in part and waits for room. */
  waitsForRoom: () => boolean;
  /** Time until the target had answered, or else until now, ms. */
  tookMs: () => number;
  cancel: () => void;
}

/** True if Node.js refused to send the request, so that its destination is not concerned. */
export const isUnsent = (outcome: AttemptOutcome): boolean =>
  outcome.kind === 'not-run' && outcome.reason === 'unsendable';

/** What an outcome shows about the links of this instance. */
const sendEndOf = (outcome: AttemptOutcome): SendEnd => {
  if (outcome.kind === 'answer') return 'answered';
  if (isUnsent(outcome)) return 'unknown';
  if (outcome.reason === 'unreachable' || outcome.reason === 'closed') return 'failed';
  return outcome.reason === 'timeout' || isAborted(outcome.reason) ? 'unknown' : 'answered';
};

/** Expected maximum duration of a send, ms; Infinity if unknown. */
const expectedMs = ({ request, ctx }: RequestExecution, likelyCached: boolean): number => {
  const { peakResponseTimes } = ctx.registry.forService(request.service);
  return (
    overdueAfterMs(peakResponseTimes[likelyCached ? 'cached' : 'uncached'].estimateAt(ctx.now())) ??
    Infinity
  );
};

/**
 * Asks the target for its pace if the response is late, well before the request times
 * out: a slow target's response comes too late to tell. Returns a function that ends
 * the wait.
 */
const watchForLate = (
  { request, ctx }: RequestExecution,
  { placed }: ReachableTarget,
  { likelyCached, busy }: { likelyCached: boolean; busy: number },
): (() => void) => {
  const { pace } = ctx.registry.forService(request.service);
  const { slots, responseMs, coldUntil } = placed;
  if (!pace.enabled || responseMs === undefined || coldUntil > ctx.now()) return () => {};
  const ratio = pace.ratioAt(ctx.now());
  const lateMs = lateAfterMs({ usualMs: responseMs, ratio, likelyCached, perSlot: busy / slots });
  const timer = setTimeout(() => ctx.paceProbes.ask(placed, pace, 'late'), lateMs);
  return () => clearTimeout(timer);
};

/** Starts sending the request to a target. */
export const startSend = (execution: RequestExecution, target: ReachableTarget): Send => {
  const { request, ctx } = execution;
  const { placed } = target;
  const connections = target.connections();
  const sentAt = ctx.now();
  connections.closeStaleConnections(
    isIdempotent(request.route.kind) ? 'may-repeat' : 'at-most-once',
  );
  const isCold = placed.coldUntil > sentAt;
  if (isCold) placed.coldSends.add(sentAt);
  execution.countSend(placed.id);
  const likelyCached = placed.cachedObjects.has(request.key);
  const sent = { likelyCached, busy: placed.load.requestsAt(sentAt) };
  const endWatch = watchForLate(execution, target, sent);
  placed.load.ownRequests += 1;
  const watched = ctx.reach.startSend(placed.id);
  const endSend = placed.unanswered.start(sentAt, expectedMs(execution, likelyCached && !isCold));
  placed.cachedObjects.add(request.key);
  /** When the target had answered, or nothing more was expected from it. */
  let endedAt: number | undefined;
  let silent = false;
  const endMeasurement = (end: SendEnd, outcome: 'answered' | 'lost'): void => {
    if (endedAt !== undefined) return;
    endedAt = ctx.now();
    endWatch();
    placed.load.ownRequests -= 1;
    watched.end(end);
    silent = placed.unanswered.isUnresponsive(endedAt);
    endSend(outcome, endedAt);
  };
  const tookMs = () => (endedAt ?? ctx.now()) - sentAt;
  const parent = trace.setSpan(context.active(), execution.span);
  const span = spans.startSpan('gateway.send', { kind: SpanKind.CLIENT }, parent);
  const attempt = sendAttempt({
    host: target.host,
    port: target.port,
    method: request.method,
    path: request.path,
    headers: () => sendHeaders(execution, target),
    body: request.body,
    requestId: request.id,
    timeoutMs: request.deadlineAt - sentAt,
    confirm: () => execution.endedBeforeSend(),
    memory: execution.openAnswerMemory(),
    // The time for which the response waits is not the target's.
    onWait: () => endMeasurement('answered', 'answered'),
    whenNext: (callback) => execution.whenNext(callback),
    connections,
    wire: ctx.wire,
    onStatement: (statement, source) => applyStatement({ statement, source, sentAt }, placed, ctx),
    onNewConnection: watched.openedConnection,
  });
  execution.setCurrentAttempt(attempt);
  const outcome = attempt.outcome.then((result) => {
    const unsent = isUnsent(result);
    endMeasurement(sendEndOf(result), result.kind === 'lost' || unsent ? 'lost' : 'answered');
    if (unsent && isCold) placed.coldSends.add(sentAt, -1);
    if (unsent) placed.selfReport.limit.cancelSend(ctx.now());
    if ('load' in result && result.load?.pace !== undefined)
      ctx.registry.forService(request.service).statesPace = true;
    const { peakResponseTimes, pace } = ctx.registry.forService(request.service);
    const countsPace = pace.enabled;
    const usualMs = placed.responseMs;
    recordOutcome(placed, result, tookMs(), { ...sent, silent, countsPace }, ctx.now());
    if (result.kind === 'answer') {
      const ms = atUsualPace(tookMs(), countsPace ? result.load?.pace : undefined, usualMs);
      peakResponseTimes[likelyCached ? 'cached' : 'uncached'].record(ms, ctx.now());
    }
    if (result.kind === 'not-run' && !likelyCached) placed.cachedObjects.delete(request.key);
    span.end();
    const name = result.kind === 'answer' ? String(result.status) : result.reason;
    ctx.metrics.attempts.inc({ result: result.kind === 'answer' ? 'answer' : result.reason });
    if (name !== '200') logSend(execution, target, { name, problem: problemOf(result) }, tookMs());
    return result;
  });
  return {
    outcome,
    likelyCached,
    sentAt,
    isConnected: attempt.isConnected,
    waitsForRoom: attempt.waitsForRoom,
    tookMs,
    cancel: () => attempt.cancel('timeout'),
  };
};
