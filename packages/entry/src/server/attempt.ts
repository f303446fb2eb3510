/** Sends one attempt of a request to a target and updates spans, metrics and target state. */
import type { IncomingMessage } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { SpanKind, SpanStatusCode, context, trace } from '@opentelemetry/api';
import type { ServiceSteering, TargetView } from '@cardamomladder/steering';
import type { AttemptResult } from '@cardamomladder/targets';
import { REQUEST_KEY_HEADER, sendAttempt } from '@cardamomladder/targets';
import { injectContext, tracer } from '@cardamomladder/telemetry';
import type { RequestKey } from '@cardamomladder/types';
import { agentFor } from './connectionPools';
import type { ForwardingContext } from './forwarding';
import { endToEndHeaders } from './headers';

const entryTracer = tracer('entry');

/** How long a target is not eligible after a failed connection, in ms. */
const AVOID_AFTER_CONNECT_FAILURE_MS = 2000;
/** How long a target is not eligible after an attempt without a response, in ms. */
const AVOID_AFTER_NO_RESPONSE_MS = 5000;

/** A caller's request while it is being forwarded. */
export interface ForwardedRequest {
  req: IncomingMessage;
  steering: ServiceSteering;
  path: string;
  body: Buffer;
  key: RequestKey | undefined;
  /** Wall-clock time (Unix time, ms). */
  deadlineAt: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /** Parent of the attempts' spans. */
  span: Span;
}

/** Updates the target's load and eligibility from the result of an attempt. */
const recordResult = (target: TargetView, result: AttemptResult, now: number): void => {
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
  // No response over an established connection: the connection was lost
  // silently or the target hangs. Excluding the target for a while keeps later
  // requests from spending half their deadline waiting for it.
  Object.assign(target, { avoidUntil: now + AVOID_AFTER_NO_RESPONSE_MS });
};

/** Sends the request to `target`; call `done` after the response was relayed or discarded. */
export const attemptRequest = async (
  request: ForwardedRequest,
  target: TargetView,
  attempt: number,
  ctx: ForwardingContext,
): Promise<{ result: AttemptResult; done: () => void }> => {
  const { req, steering, path, body, key, deadlineAt, signal } = request;
  const { name: service, idempotent, maxAttempts } = steering.settings;
  const span = entryTracer.startSpan(
    'entry.attempt',
    { kind: SpanKind.CLIENT, attributes: { service, target: target.id, attempt } },
    trace.setSpan(context.active(), request.span),
  );
  const headers = endToEndHeaders(req.headers);
  injectContext(span, headers);
  if (key) headers[REQUEST_KEY_HEADER] = key;
  const { load } = target;
  load.localInflight += 1;
  const remainingMs = deadlineAt - Date.now();
  const result = await sendAttempt({
    address: target.address,
    method: req.method ?? 'GET',
    path,
    headers,
    body,
    deadlineAt,
    // Reserve time for a retry of an idempotent request, so that a pooled
    // connection that was lost silently costs half the deadline, not all of it.
    attemptTimeoutMs: idempotent && attempt < maxAttempts ? remainingMs / 2 : remainingMs,
    connectTimeoutMs: ctx.connectTimeoutMs,
    agent: idempotent ? agentFor(target.address) : false,
    signal,
  });
  ctx.metrics.attempts.inc({ service, result: result.kind });
  span.setAttribute('result', result.kind);
  recordResult(target, result, Date.now());
  if (result.kind !== 'answer')
    span.setStatus({ code: SpanStatusCode.ERROR, message: result.reason });
  const done = () => {
    load.localInflight -= 1;
    span.end();
  };
  return { result, done };
};
