/**
 * Serves one request: place, send, repeat where that is allowed and worth it,
 * and give one final answer no later than it is due.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { SpanKind } from '@opentelemetry/api';
import type { RepeatBudget } from '@cardamomladder/steering';
import { place } from '@cardamomladder/steering';
import { tracer } from '@cardamomladder/telemetry';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { ServiceName, TargetId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { Attempt, AttemptOutcome } from '../targets/attempt';
import { sendAttempt } from '../targets/attempt';
import { FRESH_IDLE_MS } from '../targets/connections';
import type { ReachableTarget, TargetRegistry } from '../targets/registry';
import type { Wire } from '../wireNames';
import { answerOwn, passedHeaders, relay } from './answers';
import type { CallerRequest } from './callerRequest';
import { LEAST_SEND_MS, sendTimeout, worthRepeating } from './repeatPolicy';
import { learn } from './targetHealth';

const spans = tracer('gateway');

/** What serving needs of the instance. */
export interface ServeContext {
  wire: Wire;
  registry: TargetRegistry;
  budgetOf: (service: ServiceName) => RepeatBudget;
  /** Instances that share the repeat budget. */
  fleetSize: () => number;
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

/** How a request ended. */
export type ServeOutcome = 'answered' | 'rejected' | 'failed' | 'timed-out' | 'caller-left';

/** The state of one request while it is served. */
class Serving {
  readonly tried = new Set<TargetId>();

  sends = 0;

  /** Set once the caller has gone or the final answer was given. */
  ended: ServeOutcome | undefined;

  private current: Attempt | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly ctx: ServeContext,
  ) {}

  /** Counts a send to `target`. */
  countSend(target: TargetId): void {
    this.sends += 1;
    this.tried.add(target);
  }

  /** The send under way; its outcome. */
  await(attempt: Attempt): Promise<AttemptOutcome> {
    this.current = attempt;
    return attempt.outcome;
  }

  /** Ends the request from outside its sends: the caller left, or the answer is due. */
  endNow(outcome: 'timed-out' | 'caller-left'): void {
    if (this.ended) return;
    this.ended = outcome;
    if (outcome === 'timed-out' && !this.res.headersSent)
      answerOwn(this.res, { status: 504, message: 'no answer in time' });
    this.current?.cancel(outcome === 'timed-out' ? 'timeout' : 'cancelled');
  }
}

const sendHeaders = (serving: Serving, target: ReachableTarget): OutgoingHttpHeaders => {
  const { request, req, ctx } = serving;
  const names = ctx.wire.headers;
  const headers = passedHeaders(req);
  delete headers.expect;
  headers[names.waitMs] = Math.max(1, Math.floor(request.finalAt - ctx.now()));
  headers[names.onlyTarget] = target.placed.id;
  if (request.body) headers['content-length'] = request.body.length;
  return headers;
};

/** Sends to one target and takes what that teaches. */
const sendOnce = async (serving: Serving, target: ReachableTarget): Promise<AttemptOutcome> => {
  const { request, ctx } = serving;
  const { placed, connections } = target;
  const { kind, maxAttempts } = request.route;
  const sentAt = ctx.now();
  if (kind === 'non-idempotent') connections.closeIdleOver(FRESH_IDLE_MS);
  if (placed.coldUntil > sentAt) placed.coldSends.add(sentAt);
  serving.countSend(placed.id);
  placed.load.own += 1;
  const span = spans.startSpan('gateway.send', { kind: SpanKind.CLIENT });
  const attempt = sendAttempt({
    host: target.host,
    port: target.port,
    method: request.method,
    path: request.path,
    headers: sendHeaders(serving, target),
    body: request.body,
    requestId: request.id,
    timeoutMs: sendTimeout(
      kind,
      serving.sends >= maxAttempts,
      request.finalAt - sentAt,
      placed.answerMs,
    ),
    connections,
    wire: ctx.wire,
  });
  const outcome = await serving.await(attempt);
  placed.load.own -= 1;
  const endedAt = ctx.now();
  learn(placed, outcome, endedAt - sentAt, endedAt);
  span.end();
  const result = outcome.kind === 'answer' ? String(outcome.status) : outcome.reason;
  ctx.metrics.attempts.inc({ result: outcome.kind === 'answer' ? 'answer' : outcome.reason });
  if (result !== '200') {
    ctx.log.write('send', request.id, {
      target: placed.id,
      send: serving.sends,
      result,
      ms: Math.round(endedAt - sentAt),
      busy: placed.load.own + placed.load.others,
      slots: placed.slots,
      loadAgeMs:
        placed.load.reportedAt === undefined
          ? undefined
          : Math.round(endedAt - placed.load.reportedAt),
    });
  }
  return outcome;
};

/** Chooses the next target, or says why there is none. */
const choose = (serving: Serving) => {
  const { request, ctx, tried } = serving;
  const { pool, rankings } = ctx.registry.of(request.service);
  return place(
    { key: request.key, homeRegions: request.route.homeRegions, tried, now: ctx.now() },
    pool,
    rankings,
  );
};

/** True when the budget and the time left allow one more send. */
const mayRepeat = (serving: Serving, outcome: AttemptOutcome): boolean => {
  const { request, ctx, sends } = serving;
  if (serving.ended || sends >= request.route.maxAttempts) return false;
  if (!worthRepeating(request.route.kind, outcome)) return false;
  if (request.finalAt - ctx.now() < LEAST_SEND_MS) return false;
  const granted = ctx.budgetOf(request.service).spend(ctx.now(), ctx.fleetSize());
  ctx.metrics.repeats.inc({ granted: granted ? 'yes' : 'no' });
  if (!granted) ctx.log.write('repeat-refused', request.id, { reason: 'budget', sends });
  return granted;
};

/** A caller whose targets refused or could not be reached may come back after this, ms. */
const REFUSED_RETRY_AFTER_MS = 150;

const reject = (serving: Serving, reason: string, retryAfterMs: number): ServeOutcome => {
  const { request, res, ctx } = serving;
  ctx.metrics.rejections.inc({ reason });
  ctx.log.write('rejected', request.id, {
    reason,
    sends: serving.sends,
    retryAfterMs,
    service: request.service,
  });
  answerOwn(res, { status: 503, message: `not run: ${reason}`, retryAfterMs });
  return 'rejected';
};

/** The final answer after a send that brought none. */
const finish = (serving: Serving, outcome: AttemptOutcome, mayHaveRun: boolean): ServeOutcome => {
  const { request, res, ctx } = serving;
  if (outcome.kind === 'not-run' && !mayHaveRun)
    return reject(serving, outcome.reason, REFUSED_RETRY_AFTER_MS);
  const reason = outcome.kind === 'answer' ? String(outcome.status) : outcome.reason;
  ctx.log.write('failed', request.id, { reason, sends: serving.sends, mayHaveRun });
  answerOwn(res, { status: 502, message: `no usable answer: ${reason}` });
  return 'failed';
};

/** Sends until there is an answer, nothing more may be sent, or the request has ended. */
const sendUntilAnswered = async (serving: Serving): Promise<ServeOutcome> => {
  let mayHaveRun = false;
  let last: AttemptOutcome | undefined;
  for (;;) {
    const choice = choose(serving);
    if (choice.kind === 'rejected') {
      if (!last) return reject(serving, choice.reason, choice.retryAfterMs);
      if (last.kind === 'answer') return answerWith(serving, last);
      return finish(serving, last, mayHaveRun);
    }
    const target = serving.ctx.registry.reach(choice.target.id);
    if (!target) return reject(serving, 'no-target', REFUSED_RETRY_AFTER_MS);
    last = await sendOnce(serving, target);
    if (serving.ended) return serving.ended;
    mayHaveRun = mayHaveRun || last.kind !== 'not-run';
    if (!mayRepeat(serving, last)) {
      if (last.kind === 'answer') return answerWith(serving, last);
      return finish(serving, last, mayHaveRun);
    }
  }
};

async function answerWith(
  serving: Serving,
  answer: Extract<AttemptOutcome, { kind: 'answer' }>,
): Promise<ServeOutcome> {
  const sent = await relay(serving.res, answer);
  return sent === 'complete' ? 'answered' : 'failed';
}

/** Serves one request to its end; never rejects. */
export const serve = async (
  request: CallerRequest,
  req: IncomingMessage,
  res: ServerResponse,
  ctx: ServeContext,
): Promise<ServeOutcome> => {
  const serving = new Serving(request, req, res, ctx);
  ctx.budgetOf(request.service).earn(ctx.now());
  const dueMs = Math.max(0, request.finalAt - ctx.now());
  const timer = setTimeout(() => {
    if (res.headersSent) return;
    ctx.log.write('timed-out', request.id, {
      sends: serving.sends,
      tried: [...serving.tried],
      waitedMs: Math.round(ctx.now() - request.arrivedAt),
    });
    serving.endNow('timed-out');
  }, dueMs);
  const left = () => {
    if (res.writableFinished) return;
    ctx.log.write('caller-left', request.id, { sends: serving.sends });
    serving.endNow('caller-left');
  };
  res.once('close', left);
  const outcome = await sendUntilAnswered(serving);
  clearTimeout(timer);
  return outcome;
};
