/**
 * Serves one request: place, send, repeat where that is allowed and worth it,
 * and give one final answer no later than it is due.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { repeatable } from '@cardamomladder/routing';
import type { Locality } from '@cardamomladder/steering';
import { describeTargets, place } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { answerOwn, relay } from './answers';
import type { CallerRequest } from './callerRequest';
import { LEAST_SEND_MS, silentAfter, worthRepeating } from './repeatPolicy';
import { takeEvidence, TRY_AGAIN_MS } from './crashEvidence';
import type { Send } from './send';
import { startSend } from './send';
import type { ServeContext, ServeOutcome } from './serving';
import { Serving } from './serving';

type TargetAnswer = Extract<AttemptOutcome, { kind: 'answer' }>;

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
      homeRegions: request.homeRegions,
      objectiveMs: route.latencyObjectiveMs,
      lateAlready: request.waitedBeforeMs > (route.latencyObjectiveMs ?? Infinity),
      urgent: serving.urgent,
      tried,
      now: ctx.now(),
    },
    pool,
    rankings,
  );
};

/**
 * Takes the place in a limited target's pace when the target is chosen: until
 * the request is sent, others may be placed.
 */
const claim = (
  target: ReachableTarget | undefined,
  { ctx }: Serving,
): ReachableTarget | undefined => {
  target?.placed.selfReport.limit.take(ctx.now());
  return target;
};

/** The target of one more send, if the request, its time and the budget allow one. */
const nextTarget = (serving: Serving, outcome: AttemptOutcome): ReachableTarget | undefined => {
  const { request, ctx, sends } = serving;
  if (serving.ended || !serving.maySendMore || serving.quarantined) return undefined;
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
  return granted ? claim(target, serving) : undefined;
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
  const now = ctx.now();
  const cold = placed.coldUntil > now;
  const waitMs = silentAfter(request.finalAt - now, {
    send: longest[send.remembered && !cold ? 'remembered' : 'first'].now(now),
    repeat: longest.first.now(now),
  });
  if (waitMs === undefined) return undefined;
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
    ...ctx.versions(),
  };
};

const reject = (serving: Serving, reason: string, retryAfterMs: number): ServeOutcome => {
  const { request, res, ctx, sends } = serving;
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
  if (serving.quarantined) return reject(serving, 'quarantined', TRY_AGAIN_MS);
  const choice = choose(serving);
  if (choice.kind === 'rejected') return reject(serving, choice.reason, choice.retryAfterMs);
  let target = claim(serving.ctx.registry.reach(choice.target.id), serving);
  let mayHaveRun = false;
  let failure: TargetAnswer | undefined;
  while (target) {
    const send = startSend(serving, target);
    const afterSilence = await nextAfterSilence(serving, send, target);
    if (afterSilence) send.cancel();
    const outcome = await send.outcome;
    await takeEvidence(serving, target, outcome);
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
  span: Span,
): Promise<ServeOutcome> => {
  const serving = new Serving(request, req, res, ctx, span);
  ctx.budgetOf(request.service).earn(ctx.now());
  const dueMs = Math.max(0, request.finalAt - ctx.now());
  const timer = setTimeout(() => {
    if (!res.headersSent) timeOut(serving);
  }, dueMs);
  const left = () => {
    if (res.writableFinished) return;
    ctx.log.write('caller-left', request.id, {
      sends: serving.sends,
      waitedMs: Math.round(ctx.now() - request.arrivedAt),
      allowedMs: Math.round(request.finalAt - request.arrivedAt),
    });
    serving.endNow('caller-left');
  };
  res.once('close', left);
  const outcome = await sendUntilAnswered(serving);
  clearTimeout(timer);
  return outcome;
};
