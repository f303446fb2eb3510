/**
 * HTTP client for the platform services' JSON endpoints, with a timeout. A call
 * results in a response with its status, or in a transport error that says
 * whether the request may have reached the server. It doesn't use `fetch`, which
 * takes a reset for the end of a response without a length.
 */
import { request as httpRequest } from 'node:http';
import { request as httpsRequest } from 'node:https';
import type { ResultAsync } from 'neverthrow';
import { ResultAsync as R } from 'neverthrow';
import { PacedAgent } from './pacedAgent';
import { ReceivedBytes } from './receivedBytes';
import { detectReset } from './responseFraming';
import { limitTransfer, withinMs } from './transferLimits';

/** A response: status and parsed JSON body (undefined for an empty body). */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/**
 * A call that received no usable response. `possiblySent` is true when the request
 * may have been delivered (timeout, connection reset after sending), so a write
 * may have taken effect; false when it certainly was not (connection refused).
 */
export interface TransportError {
  possiblySent: boolean;
  message: string;
}

/** Error codes after which the request was certainly not delivered. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Time for which a connection is kept without a request, ms: less than a server of Node.js keeps it. */
const KEEP_ALIVE_MS = 4000;

const agent = new PacedAgent({ keepAlive: true, timeout: KEEP_ALIVE_MS, scheduling: 'lifo' });

/** Parameters of a call. */
interface CallOptions {
  method?: string;
  body?: unknown;
  /** For the whole call, ms. */
  timeoutMs: number;
}

const errorCode = (error: unknown): string | undefined => (error as { code?: string }).code;

/** Sends a request and reads the whole response. */
const send = (url: URL, { method = 'GET', body, timeoutMs }: CallOptions): Promise<JsonResponse> =>
  new Promise((resolve, reject) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers =
      text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const req =
      url.protocol === 'https:'
        ? httpsRequest(url, { method, headers })
        : httpRequest(url, { method, headers, agent });
    req.on('response', (res) => {
      const received = new ReceivedBytes();
      res.on('data', (part: Buffer) => received.add(part));
      res.on('error', reject);
      res.on('end', () => {
        const receivedText = received.toBuffer().toString('utf8');
        try {
          const parsed: unknown = receivedText === '' ? undefined : JSON.parse(receivedText);
          resolve({ status: res.statusCode ?? 0, body: parsed });
        } catch {
          reject(new Error(`the response (${res.statusCode}) is not JSON`));
        }
      });
    });
    detectReset(req);
    limitTransfer(req, withinMs(timeoutMs), (reason) => req.destroy(reason));
    req.on('error', reject);
    req.end(text);
  });

/** Calls `url` with an optional JSON body; failures are returned, never thrown. */
export const callJson = (
  url: string,
  options: CallOptions,
): ResultAsync<JsonResponse, TransportError> =>
  R.fromPromise((async () => send(new URL(url), options))(), (error): TransportError => ({
    possiblySent: !NOT_SENT_CODES.has(errorCode(error) ?? ''),
    message: `${(error as Error).message}${errorCode(error) ? ` (${errorCode(error)})` : ''}`,
  }));
