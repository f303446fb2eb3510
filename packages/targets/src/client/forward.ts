/**
 * Sends a caller's request once to one target over Node `http`. The result of
 * the attempt determines whether the request may be retried:
 *
 * - `answer`: the target sent a status and headers; the body is still streaming.
 * - `not-run`: the target did not process the request (no connection was made,
 *   or it responded 503 with `x-not-run` before doing any work).
 * - `unknown`: the target may or may not have processed the request; it may
 *   have arrived, but no response did (reset, timeout, unresponsive connection).
 */
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request } from 'node:http';
import { PacedAgent, detectReset } from '@cardamomladder/http-json';
import type { NotRunReason } from '../protocol';
import { DEADLINE_HEADER, LOAD_HEADER, NOT_RUN_HEADER } from '../protocol';

/** Parameters of one attempt. */
export interface AttemptOptions {
  /** `host:port` of the target. */
  address: string;
  method: string;
  path: string;
  headers: OutgoingHttpHeaders;
  body: Buffer;
  /** Absolute deadline, ms since epoch. */
  deadlineAt: number;
  /** Timeout for the response headers, in ms. */
  attemptTimeoutMs: number;
  /** Timeout for the TCP connection, in ms; if it expires, nothing was sent. */
  connectTimeoutMs: number;
  /** A pooled keep-alive agent, or `false` for a new connection. */
  agent: PacedAgent | false;
  /** Aborted when the caller disconnects; this also cancels the request at the target. */
  signal: AbortSignal;
}

/** Result of an attempt; `load` is the number of busy slots, if the target reported it. */
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

const parseLoadHeader = (headers: IncomingHttpHeaders): number | undefined => {
  const value = Number(headers[LOAD_HEADER]);
  return Number.isFinite(value) ? value : undefined;
};

/** Sends a request once; the returned promise never rejects. */
export const sendAttempt = (attempt: AttemptOptions): Promise<AttemptResult> =>
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
      agent: attempt.agent || new PacedAgent(),
      headers: {
        ...attempt.headers,
        [DEADLINE_HEADER]: String(remaining),
        'content-length': attempt.body.length,
      },
    });
    detectReset(req);
    const onAbort = () => {
      req.destroy(new Error('caller went away'));
    };
    attempt.signal.addEventListener('abort', onAbort, { once: true });
    const timeoutMs = Math.min(remaining, attempt.attemptTimeoutMs);
    timer = setTimeout(() => {
      // An unresponsive connection accepts the request but never returns a
      // response. Destroying the socket removes it from the pool, so the next
      // attempt gets a working connection.
      finish(
        connected
          ? { kind: 'unknown', reason: 'no answer before timeout' }
          : { kind: 'not-run', reason: 'connect-failed' },
      );
      req.destroy(new Error('attempt timed out'));
    }, timeoutMs);
    req.on('socket', (socket) => {
      // A reused pooled socket is already connected and emits no `connect` event.
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
          load: parseLoadHeader(res.headers),
          retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
        });
        return;
      }
      // Also cancel the request at the target if the caller disconnects while the body streams.
      attempt.signal.addEventListener('abort', () => res.destroy(), { once: true });
      finish({
        kind: 'answer',
        status: res.statusCode ?? 502,
        headers: res.headers,
        body: res,
        load: parseLoadHeader(res.headers),
      });
    });
    req.on('error', (error: Error & { code?: string }) => {
      if (!connected) finish({ kind: 'not-run', reason: 'connect-failed' });
      else finish({ kind: 'unknown', reason: error.code ?? error.message });
    });
    req.end(attempt.body);
  });
