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
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import type { Outcome } from '@cardamomladder/callers';
import type { ServiceSteering } from '@cardamomladder/steering';
import type { NotRunReason } from '@cardamomladder/targets';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import type { TargetId } from '@cardamomladder/types';
import type { Dedup } from '../state/dedup';
import type { RetryBudget } from '../state/retryBudget';
import { admit } from './admission';
import type { ForwardedRequest } from './attempt';
import { attemptAt } from './attempt';
import { notRunMessage, refuse } from './refusal';
import { relayAnswer } from './relayAnswer';

/** What forwarding needs from the daemon. */
export interface ForwardingContext {
  metrics: EntryMetrics;
  dedup: Dedup;
  budget: RetryBudget;
  random: () => number;
  connectTimeoutMs: number;
}

/** Time an attempt needs at least to be worth making, ms. */
const MIN_ATTEMPT_MS = 5;
/** Told to a caller when nobody said when to come back, ms. */
const RETRY_AFTER_MS = 1000;

/** How the attempts of a request ended. */
type Attempts =
  | { kind: 'answered' }
  | { kind: 'maybe-ran' }
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs: number | undefined };

/** Sends to one target after another while that is allowed and worth it. */
const sendUntilAnswered = async (
  request: ForwardedRequest,
  res: ServerResponse,
  ctx: ForwardingContext,
): Promise<Attempts> => {
  const { steering, deadlineAt, signal, key } = request;
  const { name: service, idempotent, maxAttempts } = steering.settings;
  const tried = new Set<TargetId>();
  let maybeRan = false;
  let reason: NotRunReason = 'no-target';
  let retryAfterMs: number | undefined;
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    if (deadlineAt - Date.now() < MIN_ATTEMPT_MS || signal.aborted) break;
    if (attempt > 1 && !ctx.budget.spend()) break;
    const choice = steering.choose(Date.now(), ctx.random, tried);
    if (choice.kind === 'refused') {
      ({ reason, retryAfterMs } = choice);
      break;
    }
    const { target } = choice;
    tried.add(target.id);
    if (attempt > 1) ctx.metrics.retries.inc({ service });
    const { result, done } = await attemptAt(request, target, attempt, ctx);
    if (result.kind === 'answer') {
      await relayAnswer(res, result, target, attempt, key, ctx.dedup);
      done();
      request.span.setAttribute('target', target.id);
      return { kind: 'answered' };
    }
    done();
    if (result.kind === 'not-run') {
      reason = result.reason;
      retryAfterMs = result.retryAfterMs ?? retryAfterMs;
    } else {
      maybeRan = true;
      if (!idempotent) break;
    }
  }
  return maybeRan ? { kind: 'maybe-ran' } : { kind: 'not-run', reason, retryAfterMs };
};

/** The final answer when a target may have run the request. */
const refuseUnknown = (
  { steering, key }: ForwardedRequest,
  res: ServerResponse,
  ctx: ForwardingContext,
): Outcome => {
  const { name: service, idempotent } = steering.settings;
  if (key) ctx.dedup.markUnknown(key);
  if (!idempotent) ctx.metrics.outcomeUnknown.inc({ service });
  const message = idempotent
    ? 'no target answered in time; the request may be sent again'
    : 'the target may have run this request but did not answer; check with the service before sending it again';
  refuse(res, 504, 'unknown', 'outcome-unknown', message, idempotent ? RETRY_AFTER_MS : undefined);
  return 'unknown';
};

/** The final answer when no target ran the request. */
const refuseNotRun = (
  { steering, key, deadlineAt }: ForwardedRequest,
  res: ServerResponse,
  { reason, retryAfterMs = RETRY_AFTER_MS }: Extract<Attempts, { kind: 'not-run' }>,
  ctx: ForwardingContext,
): Outcome => {
  if (key) ctx.dedup.release(key);
  ctx.metrics.notRun.inc({ service: steering.settings.name, reason });
  const message = `not run: ${notRunMessage[reason]}; send it again after the retry-after time`;
  if (deadlineAt - Date.now() < MIN_ATTEMPT_MS)
    refuse(res, 504, 'not-run', 'deadline-exceeded', message, retryAfterMs);
  else refuse(res, 503, 'not-run', 'not-run', message, retryAfterMs);
  return 'not-run';
};

/** Serves one caller request for `steering`'s service. */
export const forward = async (
  req: IncomingMessage,
  res: ServerResponse,
  steering: ServiceSteering,
  path: string,
  ctx: ForwardingContext,
  span: Span,
): Promise<Outcome> => {
  const { idempotent, deadlineMs } = steering.settings;
  const deadlineAt = Date.now() + deadlineMs;
  const admission = await admit(req, res, idempotent, ctx.dedup);
  if (admission.kind === 'answered') return admission.outcome;
  const { body, key } = admission;
  const cancel = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) cancel.abort();
  });
  ctx.budget.earn();
  const request = { req, steering, path, body, key, deadlineAt, signal: cancel.signal, span };
  const attempts = await sendUntilAnswered(request, res, ctx);
  if (attempts.kind === 'answered') return 'ok';
  if (attempts.kind === 'maybe-ran') return refuseUnknown(request, res, ctx);
  return refuseNotRun(request, res, attempts, ctx);
};
