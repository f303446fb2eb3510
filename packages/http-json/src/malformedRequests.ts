/** Refuses what a server can't parse or has no use for, after the responses to the requests before it. */
import { STATUS_CODES } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionCloser } from './lingeringClose';
import { BodyError, failBody } from './server';

const BAD_REQUEST = 400;
const NOT_IMPLEMENTED = 501;
/** Statuses of errors that don't mean that the request is malformed. */
const STATUS_BY_CODE: Record<string, BodyError['status']> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

const isParseError = ({ code = '' }: NodeJS.ErrnoException): boolean =>
  code.startsWith('HPE_') || code.startsWith('ERR_HTTP_');

const refusalOf = (status: number): string =>
  `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;

/** The response to the request whose body can't be parsed, unless its handler has answered already. */
const unansweredOf = (pending: ReadonlySet<ServerResponse>): ServerResponse | undefined =>
  [...pending].find(
    ({ req, headersSent }) => !req.complete && !headersSent && req.listenerCount('error') > 0,
  );

/** Time in which the responses before a refusal are received once they are made, ms. */
const MAX_DELIVERY_MS = 10_000;
const CHECK_INTERVAL_MS = 500;

/** Calls `then` after the pending responses; destroys the connection if its peer does not take them. */
const afterPending = (
  socket: Socket,
  pending: ReadonlySet<ServerResponse>,
  then: () => void,
): void => {
  let madeAt = Infinity;
  const timer = setInterval(() => {
    if ([...pending].some(({ writableEnded }) => !writableEnded)) return;
    madeAt = Math.min(madeAt, performance.now());
    if (performance.now() > madeAt + MAX_DELIVERY_MS) socket.destroy();
  }, CHECK_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
  const checkPending = () => {
    if (pending.size > 0) return;
    clearInterval(timer);
    then();
  };
  pending.forEach((res) => res.once('close', checkPending));
  checkPending();
};

/** Refuses malformed, oversized and late requests, and tunnels, in turn; Node.js drops the requests before them. */
export const refuseMalformed = (server: Server, closer: ConnectionCloser): void => {
  const refuse = (socket: Socket, status: number): void => {
    const pending = closer.pendingOf(socket);
    const isAnswered = [...pending].some(({ req }) => !req.complete);
    afterPending(socket, pending, () => {
      if (!socket.writable || closer.isClosing(socket)) return;
      if (!isAnswered) socket.write(refusalOf(status));
      closer.close(socket, 'refused');
    });
  };
  server.on('connect', (_, socket: Socket) => {
    // Node.js has removed its own listeners.
    socket.on('error', () => {});
    socket.on('drain', () => closer.pendingOf(socket).forEach((res) => res.emit('drain')));
    closer.discardInput(socket);
    refuse(socket, NOT_IMPLEMENTED);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (closer.isClosing(socket)) return;
    if (!isParseError(error) || socket.readableEnded || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = STATUS_BY_CODE[error.code ?? ''] ?? BAD_REQUEST;
    const ofBody = unansweredOf(closer.pendingOf(socket));
    closer.discardInput(socket);
    if (ofBody) {
      // Its handler answers, and Node.js closes the connection behind that.
      ofBody.shouldKeepAlive = false;
      failBody(ofBody.req, new BodyError(status, `the body can't be parsed: ${error.message}`));
    } else refuse(socket, status);
  });
};
