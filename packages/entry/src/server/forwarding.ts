/**
 * Serving one caller request: choose a target, send, retry what may be
 * retried, and give the caller one final answer at once. The rules that keep
 * the brief's promises:
 *
 * - A non-idempotent request (booking, arrival) is sent again only when the
 *   first attempt surely did not run (no connection, or the target said
 *   `x-not-run`). Anything else ends in `x-outcome: unknown`, never a retry.
 * - Non-idempotent requests go on a fresh connection. A pooled connection can
 *   have gone silent (the brief: "something between the two ends has lost
 *   track of them"); a request written into it is lost with no way to know
 *   whether it ran. A new connection that completes its handshake is a
 *   working path, at about 1 ms of cost.
 * - "not run" is said only when no attempt may have run.
 * - A request given up is answered at once, with `retry-after`.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { Agent } from 'node:http';
import type { Span } from '@opentelemetry/api';
import { SpanKind, SpanStatusCode } from '@opentelemetry/api';
import {
  ATTEMPTS_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  MAX_REQUEST_BYTES,
  OUTCOME_HEADER,
  SERVED_BY_HEADER,
} from '@cardamomladder/callers';
import type { Outcome } from '@cardamomladder/callers';
import type { ServiceSteering, TargetView } from '@cardamomladder/steering';
import type { AttemptResult, NotRunReason } from '@cardamomladder/targets';
import { REQUEST_KEY_HEADER, sendAttempt } from '@cardamomladder/targets';
import { readBody } from '@cardamomladder/http-json';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import { injectContext, tracer } from '@cardamomladder/telemetry';
import type { RequestKey, TargetId } from '@cardamomladder/types';
import { requestKey } from '@cardamomladder/types';
import type { Dedup } from '../state/dedup';
import type { RetryBudget } from '../state/retryBudget';

const trace = tracer('entry');

/** What forwarding needs from the daemon. */
export interface ForwardingContext {
  metrics: EntryMetrics;
  dedup: Dedup;
  budget: RetryBudget;
  random: () => number;
  connectTimeoutMs: number;
}

/** Hop-by-hop headers are the connection's, not the request's (RFC 9110 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'te',
  'trailer',
  'proxy-connection',
]);
/** Time an attempt needs at least to be worth making, in ms. */
const MIN_ATTEMPT_MS = 5;
/** A target that refused a connection is not chosen again for this long. */
const AVOID_AFTER_CONNECT_FAILURE_MS = 2000;
/** A target that took an attempt and did not answer is not chosen again for this long. */
const AVOID_AFTER_SILENCE_MS = 5000;

const pools = new Map<string, Agent>();
const poolFor = (address: string): Agent => {
  let agent = pools.get(address);
  if (!agent) {
    agent = new Agent({ keepAlive: true, maxSockets: 64, scheduling: 'lifo' });
    pools.set(address, agent);
  }
  return agent;
};

const forwardHeaders = (headers: IncomingMessage['headers']): OutgoingHttpHeaders =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP.has(name)));

/** Sends an answer the entry makes itself: a refusal with its outcome and remedy. */
export const refuse = (
  res: ServerResponse,
  status: number,
  outcome: Outcome,
  error: string,
  message: string,
  retryAfterMs?: number,
): void => {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const body = JSON.stringify({ error, message });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    ...(retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(0, Math.ceil(retryAfterMs / 1000))) }),
  });
  res.end(body);
};

const notRunMessage: Record<NotRunReason, string> = {
  draining: 'the target is leaving',
  shed: 'the target was full',
  deadline: 'too little time was left',
  'connect-failed': 'no target could be reached',
  'no-target': 'no target is live for this service',
  'region-full': 'the region has no spare slots',
  store: 'the platform is unreachable',
};

/** Sends the target's answer to the caller, whole or visibly cut, and records it for replays. */
const relayAnswer = (
  res: ServerResponse,
  result: Extract<AttemptResult, { kind: 'answer' }>,
  target: TargetView,
  attempts: number,
  key: RequestKey | undefined,
  dedup: Dedup,
): Promise<void> =>
  new Promise((resolve) => {
    const headers = {
      ...forwardHeaders(result.headers),
      ...(result.headers['content-length']
        ? { 'content-length': result.headers['content-length'] }
        : {}),
      [OUTCOME_HEADER]: 'ok',
      [SERVED_BY_HEADER]: target.id,
      [ATTEMPTS_HEADER]: String(attempts),
    };
    res.writeHead(result.status, headers);
    const kept: Buffer[] = [];
    result.body.on('data', (chunk: Buffer) => {
      if (key) kept.push(chunk);
      if (!res.write(chunk)) {
        result.body.pause();
        res.once('drain', () => result.body.resume());
      }
    });
    result.body.on('end', () => {
      if (key)
        dedup.finish(key, {
          status: result.status,
          headers: result.headers,
          body: Buffer.concat(kept),
        });
      res.end();
      resolve();
    });
    // The target went away mid-answer. Ending the caller's answer normally
    // would hand it a cut body that looks whole; destroying the connection
    // makes the cut visible (the length does not match).
    result.body.on('error', () => {
      if (key) dedup.markUnknown(key);
      res.destroy();
      resolve();
    });
    result.body.on('aborted', () => {
      res.destroy();
      resolve();
    });
  });

const recordLoad = (target: TargetView, result: AttemptResult): void => {
  if ('load' in result && result.load !== undefined)
    target.load.report = { inflight: result.load, at: Date.now() };
};

/** Serves one caller request for `steering`'s service. */
export const forward = async (
  req: IncomingMessage,
  res: ServerResponse,
  steering: ServiceSteering,
  path: string,
  ctx: ForwardingContext,
  parent: Span,
): Promise<Outcome> => {
  const spec = steering.settings;
  const service = spec.name;
  const started = Date.now();
  const deadlineAt = started + spec.deadlineMs;
  const body = await readBody(req, MAX_REQUEST_BYTES);
  if (body === 'too-large') {
    refuse(
      res,
      413,
      'not-run',
      'request-too-large',
      `request body is over ${MAX_REQUEST_BYTES} bytes; send a smaller body`,
    );
    return 'not-run';
  }
  const rawKey = req.headers[IDEMPOTENCY_KEY_HEADER];
  const key =
    !spec.idempotent && typeof rawKey === 'string' && rawKey !== ''
      ? requestKey(rawKey)
      : undefined;
  if (key) {
    const verdict = ctx.dedup.claim(key);
    if (verdict.kind === 'running') {
      refuse(
        res,
        409,
        'unknown',
        'duplicate-request',
        'a request with this idempotency-key is still running; wait for its answer',
        1000,
      );
      return 'unknown';
    }
    if (verdict.kind === 'unknown') {
      refuse(
        res,
        409,
        'unknown',
        'duplicate-request',
        'a request with this idempotency-key may have run; check with the service before sending it again',
      );
      return 'unknown';
    }
    if (verdict.kind === 'replay') {
      res.writeHead(verdict.answer.status, {
        ...forwardHeaders(verdict.answer.headers),
        'content-length': verdict.answer.body.length,
        [OUTCOME_HEADER]: 'ok',
      });
      res.end(verdict.answer.body);
      return 'ok';
    }
  }

  const cancel = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) cancel.abort();
  });
  ctx.budget.earn();
  const tried = new Set<TargetId>();
  let maybeRan = false;
  let lastNotRun: NotRunReason = 'no-target';
  let retryAfterMs: number | undefined;

  for (let attempt = 1; attempt <= spec.maxAttempts; attempt += 1) {
    const left = deadlineAt - Date.now();
    if (left < MIN_ATTEMPT_MS || cancel.signal.aborted) break;
    if (attempt > 1 && !ctx.budget.spend()) break;
    const choice = steering.choose(Date.now(), ctx.random, tried);
    if (choice.kind === 'refused') {
      lastNotRun = choice.reason;
      retryAfterMs = choice.retryAfterMs;
      break;
    }
    const { target } = choice;
    tried.add(target.id);
    if (attempt > 1) ctx.metrics.retries.inc({ service });
    const span = trace.startSpan('entry.attempt', {
      kind: SpanKind.CLIENT,
      attributes: { service, target: target.id, attempt },
    });
    const headers = forwardHeaders(req.headers);
    injectContext(span, headers);
    if (key) headers[REQUEST_KEY_HEADER] = key;
    target.load.local += 1;
    const result = await sendAttempt({
      address: target.address,
      method: req.method ?? 'GET',
      path,
      headers,
      body,
      deadlineAt,
      // An idempotent request keeps time for a second try; a silent pooled
      // connection then costs half the deadline, not all of it.
      attemptTimeoutMs: spec.idempotent && attempt < spec.maxAttempts ? left / 2 : left,
      connectTimeoutMs: ctx.connectTimeoutMs,
      agent: spec.idempotent ? poolFor(target.address) : false,
      signal: cancel.signal,
    });
    recordLoad(target, result);
    ctx.metrics.attempts.inc({ service, result: result.kind });
    span.setAttribute('result', result.kind);
    if (result.kind === 'answer') {
      await relayAnswer(res, result, target, attempt, key, ctx.dedup);
      target.load.local -= 1;
      span.end();
      parent.setAttribute('target', target.id);
      return 'ok';
    }
    target.load.local -= 1;
    span.setStatus({
      code: SpanStatusCode.ERROR,
      message: result.reason,
    });
    span.end();
    if (result.kind === 'not-run') {
      lastNotRun = result.reason;
      retryAfterMs = result.retryAfterMs ?? retryAfterMs;
      if (result.reason === 'draining') target.leaving = true;
      if (result.reason === 'connect-failed')
        target.avoidUntil = Date.now() + AVOID_AFTER_CONNECT_FAILURE_MS;
      if (result.reason === 'shed') target.load.report = { inflight: target.slots, at: Date.now() };
      continue;
    }
    // No answer from a connected target: a silent connection or a hung
    // target. Keeping it out of choices for a while stops every later
    // request from spending half its deadline on the same silence.
    target.avoidUntil = Date.now() + AVOID_AFTER_SILENCE_MS;
    maybeRan = true;
    if (!spec.idempotent) break;
  }

  if (maybeRan) {
    if (key) ctx.dedup.markUnknown(key);
    if (!spec.idempotent) ctx.metrics.outcomeUnknown.inc({ service });
    refuse(
      res,
      504,
      'unknown',
      'outcome-unknown',
      spec.idempotent
        ? 'no target answered in time; the request may be sent again'
        : 'the target may have run this request but did not answer; check with the service before sending it again',
      spec.idempotent ? 1000 : undefined,
    );
    return 'unknown';
  }
  if (key) ctx.dedup.release(key);
  ctx.metrics.notRun.inc({ service, reason: lastNotRun });
  const timedOut = deadlineAt - Date.now() < MIN_ATTEMPT_MS;
  refuse(
    res,
    timedOut ? 504 : 503,
    'not-run',
    timedOut ? 'deadline-exceeded' : 'not-run',
    `not run: ${notRunMessage[lastNotRun]}; send it again after the retry-after time`,
    retryAfterMs ?? 1000,
  );
  return 'not-run';
};
