/**
 * Serves one request: place, send, repeat where that is allowed and worth it,
 * and give one final answer no later than it is due.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { SpanKind } from '@opentelemetry/api';
import { repeatable } from '@cardamomladder/routing';
import type { Locality, RepeatBudget } from '@cardamomladder/steering';
import { describeTargets, place } from '@cardamomladder/steering';
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
import { LEAST_SEND_MS, silentAfter, worthRepeating } from './repeatPolicy';
import { learn } from './targetHealth';

const spans = tracer('gateway');

/** What serving needs of the instance. */
export interface ServeContext {
  wire: Wire;
  registry: TargetRegistry;
  budgetOf: (service: ServiceName) => RepeatBudget;
  /** Instances that share the repeat budget. */
  fleetSize: () => number;
  /** Versions of what is believed, for the log. */
  versions: () => { configuration: number; revision: number };
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

/** How a request ended. */
export type ServeOutcome = 'answered' | 'rejected' | 'failed' | 'timed-out' | 'caller-left';

/** Most sends that reached nobody, beside those that the route allows: half a failure domain may have gone at once. */
const UNREACHED_MOST = 2;

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

  /** Sends that reached nobody: no connection was made. */
  private unreached = 0;

  /** Counts a send to `target`. */
  countSend(target: TargetId): void {
    this.sends += 1;
    this.tried.add(target);
  }

  /** Notes that a send reached nobody. */
  countUnreached(): void {
    this.unreached += 1;
  }

  /** True while one more send keeps to the route's limit; those that reached nobody count only against runaway tries. */
  get maySendMore(): boolean {
    const { maxAttempts } = this.request.route;
    return this.sends - this.unreached < maxAttempts && this.sends < maxAttempts + UNREACHED_MOST;
  }

  /** Notes the send that is under way. */
  await(attempt: Attempt): void {
    this.current = attempt;
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

const logSend = (
  { request, ctx, sends }: Serving,
  { placed }: ReachableTarget,
  result: string,
  ms: number,
): void => {
  const { load } = placed;
  ctx.log.write('send', request.id, {
    target: placed.id,
    send: sends,
    result,
    ms: Math.round(ms),
    busy: load.own + load.others,
    slots: placed.slots,
    loadAgeMs: load.reportedAt === undefined ? undefined : Math.round(ctx.now() - load.reportedAt),
  });
};

type TargetAnswer = Extract<AttemptOutcome, { kind: 'answer' }>;

/** A send under way; `outcome` resolves once its lesson is taken. */
interface Send {
  outcome: Promise<AttemptOutcome>;
  cancel: () => void;
}

/** Sends to one target. */
const startSend = (serving: Serving, target: ReachableTarget): Send => {
  const { request, ctx } = serving;
  const { placed, connections } = target;
  const sentAt = ctx.now();
  if (request.route.kind === 'non-idempotent') connections.closeIdleOver(FRESH_IDLE_MS);
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
    timeoutMs: request.finalAt - sentAt,
    connections,
    wire: ctx.wire,
  });
  serving.await(attempt);
  const outcome = attempt.outcome.then((result) => {
    placed.load.own -= 1;
    const tookMs = ctx.now() - sentAt;
    learn(placed, result, tookMs, ctx.now());
    if (result.kind === 'answer') ctx.registry.of(request.service).longest.take(tookMs, ctx.now());
    span.end();
    const name = result.kind === 'answer' ? String(result.status) : result.reason;
    ctx.metrics.attempts.inc({ result: result.kind === 'answer' ? 'answer' : result.reason });
    if (name !== '200') logSend(serving, target, name, tookMs);
    return result;
  });
  return { outcome, cancel: () => attempt.cancel('timeout') };
};

const localityOf = ({ route }: CallerRequest): Locality =>
  route.kind === 'download' ? 'near' : 'balanced';

/** Chooses the next target, or says why there is none. */
const choose = (serving: Serving) => {
  const { request, ctx, tried } = serving;
  const { pool, rankings } = ctx.registry.of(request.service);
  const { route } = request;
  return place(
    {
      key: request.key,
      locality: localityOf(request),
      homeRegions: route.homeRegions,
      tried,
      now: ctx.now(),
    },
    pool,
    rankings,
  );
};

/** The target of one more send, if the request, its time and the budget allow one. */
const nextTarget = (serving: Serving, outcome: AttemptOutcome): ReachableTarget | undefined => {
  const { request, ctx, sends } = serving;
  if (serving.ended || !serving.maySendMore) return undefined;
  if (!worthRepeating(request.route.kind, outcome)) return undefined;
  if (request.finalAt - ctx.now() < LEAST_SEND_MS) return undefined;
  const choice = choose(serving);
  if (choice.kind === 'rejected') return undefined;
  const target = ctx.registry.reach(choice.target.id);
  // A send that reached nobody put no load on any target.
  const free = outcome.kind === 'not-run' && outcome.reason === 'unreachable';
  const granted =
    target && (free || ctx.budgetOf(request.service).spend(ctx.now(), ctx.fleetSize()));
  ctx.metrics.repeats.inc({ granted: granted ? 'yes' : 'no' });
  if (!granted) ctx.log.write('repeat-refused', request.id, { reason: 'budget', sends });
  return granted ? target : undefined;
};

const SILENT: AttemptOutcome = { kind: 'lost', reason: 'timeout' };

/** Waits until a send has been silent for too long; the next target then, if it may go there. */
const nextAfterSilence = async (
  serving: Serving,
  send: Send,
  { placed }: ReachableTarget,
): Promise<ReachableTarget | undefined> => {
  const { request, ctx } = serving;
  if (!repeatable(request.route.kind) || !serving.maySendMore) return undefined;
  const { longest } = ctx.registry.of(request.service);
  const known = placed.answerMs !== undefined && placed.coldUntil <= ctx.now();
  const waitMs = silentAfter(request.finalAt - ctx.now(), known ? longest.now(ctx.now()) : 0);
  let timer: NodeJS.Timeout | undefined;
  const silence = new Promise<'silent'>((resolve) => {
    timer = setTimeout(() => resolve('silent'), waitMs);
  });
  const first = await Promise.race([send.outcome, silence]);
  clearTimeout(timer);
  return first === 'silent' ? nextTarget(serving, SILENT) : undefined;
};

/** A caller whose targets refused or could not be reached may come back after this, ms. */
const REFUSED_RETRY_AFTER_MS = 150;

/** What placing saw, for the log: the targets, how old their reports are, and the versions in force. */
const seenBy = ({ request, ctx }: Serving) => {
  const { pool, rankings } = ctx.registry.of(request.service);
  return {
    targets: describeTargets(request.key, localityOf(request), pool, rankings, ctx.now()),
    known: pool.targets.length,
    configuration: ctx.versions().configuration,
    revision: ctx.versions().revision,
  };
};

const reject = (serving: Serving, reason: string, retryAfterMs: number): ServeOutcome => {
  const { request, res, ctx, sends } = serving;
  ctx.metrics.rejections.inc({ reason });
  ctx.log.write('rejected', request.id, () => ({
    reason,
    sends,
    retryAfterMs,
    route: request.route.name,
    service: request.service,
    ...seenBy(serving),
  }));
  answerOwn(res, { status: 503, message: `not run: ${reason}`, retryAfterMs });
  return 'rejected';
};

/** The final answer when time has run out. */
const timeOut = (serving: Serving): ServeOutcome => {
  const { request, ctx } = serving;
  ctx.log.write('timed-out', request.id, {
    sends: serving.sends,
    tried: [...serving.tried],
    waitedMs: Math.round(ctx.now() - request.arrivedAt),
  });
  serving.endNow('timed-out');
  return 'timed-out';
};

/** The final answer after the last send. */
const finish = async (
  serving: Serving,
  outcome: AttemptOutcome,
  mayHaveRun: boolean,
): Promise<ServeOutcome> => {
  const { request, res, ctx } = serving;
  if (outcome.kind === 'answer')
    return (await relay(res, outcome)) === 'complete' ? 'answered' : 'failed';
  if (outcome.kind === 'not-run' && !mayHaveRun)
    return reject(serving, outcome.reason, REFUSED_RETRY_AFTER_MS);
  const { reason } = outcome;
  if (reason === 'timeout') return timeOut(serving);
  ctx.log.write('failed', request.id, { reason, sends: serving.sends, mayHaveRun });
  answerOwn(res, { status: 502, message: `no usable answer: ${reason}` });
  return 'failed';
};

/** Sends until there is an answer, nothing more may be sent, or the request has ended. */
const sendUntilAnswered = async (serving: Serving): Promise<ServeOutcome> => {
  const choice = choose(serving);
  if (choice.kind === 'rejected') return reject(serving, choice.reason, choice.retryAfterMs);
  let target = serving.ctx.registry.reach(choice.target.id);
  let mayHaveRun = false;
  let failure: TargetAnswer | undefined;
  while (target) {
    const send = startSend(serving, target);
    const afterSilence = await nextAfterSilence(serving, send, target);
    if (afterSilence) send.cancel();
    const outcome = await send.outcome;
    if (serving.ended) return serving.ended;
    mayHaveRun = mayHaveRun || outcome.kind !== 'not-run';
    if (outcome.kind === 'answer') failure = outcome;
    if (outcome.kind === 'not-run' && outcome.reason === 'unreachable') serving.countUnreached();
    target = afterSilence ?? nextTarget(serving, outcome);
    // A target's own failure is a better answer than none from the next one.
    if (!target) return finish(serving, failure ?? outcome, mayHaveRun);
  }
  return reject(serving, 'no-target', REFUSED_RETRY_AFTER_MS);
};

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
    if (!res.headersSent) timeOut(serving);
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
