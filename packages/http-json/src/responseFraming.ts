/** How the end of a response is known (RFC 9112, 6.3). */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { readPacer } from './readPacer';

/** Statuses of responses that end with their head. */
const BODILESS_STATUSES = new Set([204, 304]);
/** The transfer coding that has an end of its own, as the last one. */
const CHUNKED_LAST = /(?:^|,)\s*chunked\s*$/i;

/** True if a response to a request of `method` ends with its head. */
export const isBodiless = ({ statusCode = 0 }: IncomingMessage, method: string): boolean =>
  method === 'HEAD' || BODILESS_STATUSES.has(statusCode);

/** True if the end of the response to a request of `method` is known without that of its connection. */
export const isFramed = (response: IncomingMessage, method: string): boolean => {
  if (isBodiless(response, method)) return true;
  const coding = response.headers['transfer-encoding'];
  return coding === undefined
    ? response.headers['content-length'] !== undefined
    : CHUNKED_LAST.test(coding);
};

/**
 * Makes a reset an error of the response also if the response ends with its connection:
 * Node.js would report it as complete if the reset arrives with the last bytes. To be
 * called before the request is sent, on a connection that is paced.
 */
export const detectReset = (request: ClientRequest): void => {
  request.prependListener('response', (response: IncomingMessage) => {
    if (isFramed(response, request.method)) return;
    readPacer.readSeparately(response.socket);
    // Node.js reports the reset for the request only, and then ends the response as a complete one.
    request.on('error', (error) => response.destroy(error));
  });
};
