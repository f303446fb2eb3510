/**
 * One attempt to send a caller's request to one target over Node `http`.
 * The attempt ends in one of three ways, and the difference decides what
 * may be retried:
 *
 * - `answer`: the target sent status and headers; the body streams on.
 * - `not-run`: the target surely did not act (no connection was made, or it
 *   answered 503 with `x-not-run` before any work).
 * - `unknown`: the request may have reached the target and we have no answer
 *   (reset, timeout, silent connection): it may or may not have run.
 */
import type { Agent, IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request } from 'node:http';
import type { NotRunReason } from '../protocol';
import { DEADLINE_HEADER, LOAD_HEADER, NOT_RUN_HEADER } from '../protocol';

/** What an attempt sends. */
export interface Attempt {
  /** `host:port` of the target. */
  address: string;
  method: string;
  path: string;
  headers: OutgoingHttpHeaders;
  body: Buffer;
  /** Absolute deadline, ms since epoch. */
  deadlineAt: number;
  /** Longest this attempt may wait for the answer's headers, in ms. */
  attemptTimeoutMs: number;
  /** Longest to wait for a TCP connection; past it nothing was sent. */
  connectTimeoutMs: number;
  /** A pooled keep-alive agent, or `false` for a fresh connection. */
  agent: Agent | false;
  /** Aborted when the caller goes away: the attempt is cancelled at the target too. */
  signal: AbortSignal;
}

/** How an attempt ended; `load` is the target's busy slots when it said so. */
export type AttemptResult =
  | {
      kind: 'answer';
      status: number;
      headers: IncomingHttpHeaders;
      body: IncomingMessage;
      load?: number;
    }
  | { kind: 'not-run'; reason: NotRunReason; load?: number; retryAfterMs?: number }
  | { kind: 'unknown'; reason: string };

const loadOf = (headers: IncomingHttpHeaders): number | undefined => {
  const value = Number(headers[LOAD_HEADER]);
  return Number.isFinite(value) ? value : undefined;
};

/** Sends one attempt; never rejects. */
export const sendAttempt = (attempt: Attempt): Promise<AttemptResult> =>
  new Promise((resolve) => {
    const [host, port] = attempt.address.split(':');
    const remaining = Math.max(0, attempt.deadlineAt - Date.now());
    let settled = false;
    let connected = false;
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: AttemptResult) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const req = request({
      host,
      port: Number(port),
      method: attempt.method,
      path: attempt.path,
      agent: attempt.agent,
      headers: {
        ...attempt.headers,
        [DEADLINE_HEADER]: String(remaining),
        'content-length': attempt.body.length,
      },
    });
    const onAbort = () => {
      req.destroy(new Error('caller went away'));
    };
    attempt.signal.addEventListener('abort', onAbort, { once: true });
    const timeoutMs = Math.min(remaining, attempt.attemptTimeoutMs);
    timer = setTimeout(() => {
      // A silent connection looks like this: connected, request written, no
      // answer. Destroying the socket keeps it out of the pool, so the next
      // attempt gets a working connection.
      finish(
        connected
          ? { kind: 'unknown', reason: 'no answer before timeout' }
          : { kind: 'not-run', reason: 'connect-failed' },
      );
      req.destroy(new Error('attempt timed out'));
    }, timeoutMs);
    req.on('socket', (socket) => {
      // A pooled socket is already connected; a new one connects first.
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const connectTimer = setTimeout(() => {
        if (!connected) req.destroy(new Error('connect timed out'));
      }, attempt.connectTimeoutMs);
      socket.once('connect', () => {
        connected = true;
        clearTimeout(connectTimer);
      });
    });
    req.on('response', (res) => {
      attempt.signal.removeEventListener('abort', onAbort);
      const reason = res.headers[NOT_RUN_HEADER];
      if (res.statusCode === 503 && typeof reason === 'string') {
        res.resume();
        const retryAfter = Number(res.headers['retry-after']);
        finish({
          kind: 'not-run',
          reason: reason as NotRunReason,
          load: loadOf(res.headers),
          retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
        });
        return;
      }
      // Cancellation still reaches the target while the body streams.
      attempt.signal.addEventListener('abort', () => res.destroy(), { once: true });
      finish({
        kind: 'answer',
        status: res.statusCode ?? 502,
        headers: res.headers,
        body: res,
        load: loadOf(res.headers),
      });
    });
    req.on('error', (error: Error & { code?: string }) => {
      if (!connected) finish({ kind: 'not-run', reason: 'connect-failed' });
      else finish({ kind: 'unknown', reason: error.code ?? error.message });
    });
    req.end(attempt.body);
  });
