/** One attempt of a request at a target, with its span, its counts and what it teaches. */
import type { IncomingMessage } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { SpanKind, SpanStatusCode, context, trace } from '@opentelemetry/api';
import type { ServiceSteering, TargetView } from '@cardamomladder/steering';
import type { AttemptResult } from '@cardamomladder/targets';
import { REQUEST_KEY_HEADER, sendAttempt } from '@cardamomladder/targets';
import { injectContext, tracer } from '@cardamomladder/telemetry';
import type { RequestKey } from '@cardamomladder/types';
import { poolFor } from './connectionPools';
import type { ForwardingContext } from './forwarding';
import { forwardHeaders } from './headers';

const spans = tracer('entry');

/** A target that refused a connection is not chosen again for this long, ms. */
const AVOID_AFTER_CONNECT_FAILURE_MS = 2000;
/** A target that took an attempt and did not answer is not chosen again for this long, ms. */
const AVOID_AFTER_SILENCE_MS = 5000;

/** A request that is being forwarded. */
export interface ForwardedRequest {
  req: IncomingMessage;
  steering: ServiceSteering;
  path: string;
  body: Buffer;
  key: RequestKey | undefined;
  /** Wall clock, ms. */
  deadlineAt: number;
  /** Aborted when the caller leaves. */
  signal: AbortSignal;
  /** The request's span. */
  span: Span;
}

/** Takes an attempt's lesson about its target. */
const learn = (target: TargetView, result: AttemptResult, now: number): void => {
  const { load } = target;
  if ('load' in result && result.load !== undefined)
    load.report = { inflight: result.load, at: now };
  if (result.kind === 'answer') return;
  if (result.kind === 'not-run') {
    if (result.reason === 'draining') Object.assign(target, { leaving: true });
    if (result.reason === 'connect-failed')
      Object.assign(target, { avoidUntil: now + AVOID_AFTER_CONNECT_FAILURE_MS });
    if (result.reason === 'shed') load.report = { inflight: target.slots, at: now };
    return;
  }
  // No answer from a connected target: a silent connection or a hung target.
  // Keeping it out of choices for a while stops every later request from
  // spending half its deadline on the same silence.
  Object.assign(target, { avoidUntil: now + AVOID_AFTER_SILENCE_MS });
};

/** Sends the request to `target`; `done` must be called once its answer is passed on. */
export const attemptAt = async (
  request: ForwardedRequest,
  target: TargetView,
  attempt: number,
  ctx: ForwardingContext,
): Promise<{ result: AttemptResult; done: () => void }> => {
  const { req, steering, path, body, key, deadlineAt, signal } = request;
  const { name: service, idempotent, maxAttempts } = steering.settings;
  const span = spans.startSpan(
    'entry.attempt',
    { kind: SpanKind.CLIENT, attributes: { service, target: target.id, attempt } },
    trace.setSpan(context.active(), request.span),
  );
  const headers = forwardHeaders(req.headers);
  injectContext(span, headers);
  if (key) headers[REQUEST_KEY_HEADER] = key;
  const { load } = target;
  load.local += 1;
  const left = deadlineAt - Date.now();
  const result = await sendAttempt({
    address: target.address,
    method: req.method ?? 'GET',
    path,
    headers,
    body,
    deadlineAt,
    // An idempotent request keeps time for a second try; a silent pooled
    // connection then costs half the deadline, not all of it.
    attemptTimeoutMs: idempotent && attempt < maxAttempts ? left / 2 : left,
    connectTimeoutMs: ctx.connectTimeoutMs,
    agent: idempotent ? poolFor(target.address) : false,
    signal,
  });
  ctx.metrics.attempts.inc({ service, result: result.kind });
  span.setAttribute('result', result.kind);
  learn(target, result, Date.now());
  if (result.kind !== 'answer')
    span.setStatus({ code: SpanStatusCode.ERROR, message: result.reason });
  const done = () => {
    load.local -= 1;
    span.end();
  };
  return { result, done };
};
