/** Refuses what a server can't parse, after the responses to the requests before it. */
import { STATUS_CODES } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionCloser } from './lingeringClose';
import { BodyError, failBody } from './server';

const BAD_REQUEST = 400;
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

/** Refuses malformed, oversized and late requests in turn; Node.js drops the requests before them. */
export const refuseMalformed = (server: Server, closer: ConnectionCloser): void => {
  const whenAnswered = (socket: Socket, then: () => void): void => {
    const pending = closer.pendingOf(socket);
    if (pending.size === 0) then();
    pending.forEach((res) =>
      res.once('close', () => {
        if (pending.size === 0) then();
      }),
    );
  };
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
      return;
    }
    const isAnswered = [...closer.pendingOf(socket)].some(({ req }) => !req.complete);
    whenAnswered(socket, () => {
      if (!socket.writable || closer.isClosing(socket)) return;
      if (!isAnswered) socket.write(refusalOf(status));
      closer.close(socket, 'refused');
    });
  });
};
