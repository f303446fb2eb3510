/** Writing answers to callers: a target's own, unchanged, or one of this instance's. */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { AttemptOutcome } from '../targets/attempt';
import { isFramed, completenessCheck } from '../targets/attempt';

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The headers of a message that are passed on: all but the connection's own and those it names. */
export const forwardedHeaders = (message: IncomingMessage): OutgoingHttpHeaders => {
  const connectionTokens = (message.headers.connection ?? '')
    .split(',')
    .map((token) => token.trim().toLowerCase());
  const headers: OutgoingHttpHeaders = {};
  Object.entries(message.headers).forEach(([name, value]) => {
    if (!HOP_BY_HOP_HEADERS.has(name) && !connectionTokens.includes(name)) headers[name] = value;
  });
  return headers;
};

/** Passes a target's answer on, whole; one that breaks off midway breaks off here too. */
export const relay = (
  res: ServerResponse,
  response: Extract<AttemptOutcome, { kind: 'answer' }>,
): Promise<'complete' | 'cut'> => {
  const headers = forwardedHeaders(response.head);
  const { remaining } = response;
  if (!isFramed(response.head)) {
    // Nobody can tell whether it ended early, so it must not be given a length
    // or a last chunk that says it did not.
    res.shouldKeepAlive = false;
    res.useChunkedEncodingByDefault = false;
    res.removeHeader('transfer-encoding');
  }
  if (!remaining) {
    const body = Buffer.concat(response.chunks);
    if (isFramed(response.head)) headers['content-length'] ??= body.length;
    res.writeHead(response.status, headers);
    res.end(body);
    return Promise.resolve('complete');
  }
  const isComplete = completenessCheck(remaining);
  res.writeHead(response.status, headers);
  response.chunks.forEach((chunk) => res.write(chunk));
  return new Promise((resolve) => {
    const abort = () => {
      // Ending normally would make a partial body look whole.
      res.destroy();
      resolve('cut');
    };
    remaining.on('end', () => {
      if (!isComplete()) {
        abort();
        return;
      }
      res.end();
      resolve('complete');
    });
    remaining.on('error', abort);
    remaining.on('aborted', abort);
    res.on('close', () => {
      remaining.destroy();
      resolve('cut');
    });
    remaining.pipe(res, { end: false });
  });
};

/** An answer of this instance's own. */
export interface GatewayResponse {
  status: 400 | 401 | 404 | 413 | 429 | 502 | 503 | 504;
  message: string;
  /** When to come back, for requests that did not run. */
  retryAfterMs?: number;
  /** The scheme by which callers prove themselves, for those that did not. */
  challenge?: string;
}

const MS_PER_SECOND = 1000;

/** Sends an answer of this instance's own. */
export const answerOwn = (res: ServerResponse, response: GatewayResponse): void => {
  const body = JSON.stringify({ message: response.message });
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (response.challenge !== undefined) headers['www-authenticate'] = response.challenge;
  if (response.retryAfterMs !== undefined)
    headers['retry-after'] = (response.retryAfterMs / MS_PER_SECOND).toFixed(3);
  res.writeHead(response.status, headers);
  res.end(body);
};
