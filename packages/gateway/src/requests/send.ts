/** One send of a request to one target: its headers, its bookkeeping and what it teaches. */
import type { OutgoingHttpHeaders } from 'node:http';
import { SpanKind, context, trace } from '@opentelemetry/api';
import { repeatable } from '@cardamomladder/routing';
import { overdueAfter } from '@cardamomladder/steering';
import { tracer } from '@cardamomladder/telemetry';
import type { AttemptOutcome } from '../targets/attempt';
import { sendAttempt } from '../targets/attempt';
import type { ReachableTarget } from '../targets/registry';
import { CREDENTIALS_HEADER } from '../wireNames';
import { passedHeaders } from './answers';
import type { Serving } from './serving';
import { hearStatement } from './targetStatements';
import { learn } from './targetHealth';

const spans = tracer('gateway');

const sendHeaders = (serving: Serving, target: ReachableTarget): OutgoingHttpHeaders => {
  const { request, req, ctx } = serving;
  const names = ctx.wire.headers;
  const headers = passedHeaders(req);
  delete headers.expect;
  if (ctx.keysRequired()) {
    delete headers[CREDENTIALS_HEADER];
    delete headers[names.customer];
  }
  if (request.customer) headers[names.customer] = request.customer.name;
  headers[names.waitMs] = Math.max(1, Math.floor(request.finalAt - ctx.now()));
  headers[names.onlyTarget] = target.placed.id;
  if (request.body) headers['content-length'] = request.body.length;
  return headers;
};

const logSend = (
  serving: Serving,
  { placed }: ReachableTarget,
  result: string,
  ms: number,
): void => {
  const { request, ctx, sends } = serving;
  const { load } = placed;
  ctx.log.write('send', request.id, () => ({
    target: placed.id,
    send: sends,
    result,
    ms: Math.round(ms),
    busy: load.own + load.others,
    slots: placed.slots,
    loadAgeMs: load.reportedAt === undefined ? undefined : Math.round(ctx.now() - load.reportedAt),
    asked: serving.asked,
  }));
};

/** A send under way; `outcome` resolves once its lesson is taken. */
export interface Send {
  outcome: Promise<AttemptOutcome>;
  /** True if the target had been sent the object before. */
  remembered: boolean;
  cancel: () => void;
}

/** How long a send takes at most, as far as known, ms. */
const expectedMs = ({ request, ctx }: Serving, remembered: boolean): number => {
  const { longest } = ctx.registry.of(request.service);
  return overdueAfter(longest[remembered ? 'remembered' : 'first'].now(ctx.now())) ?? Infinity;
};

/** Sends to one target. */
export const startSend = (serving: Serving, target: ReachableTarget): Send => {
  const { request, ctx } = serving;
  const { placed } = target;
  const connections = target.connections();
  const sentAt = ctx.now();
  connections.closeStale(repeatable(request.route.kind) ? 'may-repeat' : 'at-most-once');
  const isCold = placed.coldUntil > sentAt;
  if (isCold) placed.coldSends.add(sentAt);
  serving.countSend(placed.id);
  const remembered = placed.objects.has(request.key);
  const sent = { remembered, busy: placed.load.busyAt(sentAt) };
  placed.load.own += 1;
  const endSend = placed.unanswered.begin(sentAt, expectedMs(serving, remembered && !isCold));
  placed.objects.note(request.key);
  const parent = trace.setSpan(context.active(), serving.span);
  const span = spans.startSpan('gateway.send', { kind: SpanKind.CLIENT }, parent);
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
    heard: (statement, source) => hearStatement({ statement, source, sentAt }, placed, ctx),
  });
  serving.await(attempt);
  const outcome = attempt.outcome.then((result) => {
    placed.load.own -= 1;
    const silent = placed.unanswered.silentAt(ctx.now());
    endSend(result.kind === 'lost' ? 'lost' : 'answered', ctx.now());
    const tookMs = ctx.now() - sentAt;
    learn(placed, result, tookMs, { ...sent, silent }, ctx.now());
    if (result.kind === 'answer') {
      const { longest } = ctx.registry.of(request.service);
      longest[remembered ? 'remembered' : 'first'].take(tookMs, ctx.now());
    }
    if (result.kind === 'not-run' && !remembered) placed.objects.forget(request.key);
    span.end();
    const name = result.kind === 'answer' ? String(result.status) : result.reason;
    ctx.metrics.attempts.inc({ result: result.kind === 'answer' ? 'answer' : result.reason });
    if (name !== '200') logSend(serving, target, name, tookMs);
    return result;
  });
  return { outcome, remembered, cancel: () => attempt.cancel('timeout') };
};
