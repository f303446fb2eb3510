/** A client on a kept connection that reads HTTP/1.1 answers itself, also while it pipelines. */
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';

const parseHead = (text) => {
  const [first, ...lines] = text.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers };
};

/** Reads the chunks of a body; undefined while it is incomplete. */
const takeChunks = (bytes) => {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
    const from = lineEnd + 2;
    if (bytes.length < from + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), used: from + 2 };
    parts.push(bytes.subarray(from, from + size));
    at = from + size + 2;
  }
};

/** The text of a request's head. */
export const requestHead = ({ method = 'GET', path, host, id, deadlineMs, headers = {} }) =>
  [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Request-Id: ${id}`,
    `X-Request-Deadline-Ms: ${deadlineMs}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    '',
    '',
  ].join('\r\n');

/**
 * Opens a connection. `expect` promises the answer to the next request: its status, headers
 * and body, and `complete`; an answer without a length ends with an orderly close. A
 * connection that ends first gives `closed`: `fin` or `reset`.
 */
export const openConnection = (address) => {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  socket.setMaxListeners(0);
  const waiting = [];
  let buffered = [];
  let size = 0;
  let head;
  let closed;

  const settle = (answer) => waiting.shift()?.(answer);
  const take = () => {
    const bytes = buffered.length === 1 ? buffered[0] : Buffer.concat(buffered, size);
    buffered = [bytes];
    return bytes;
  };
  const keep = (bytes) => {
    buffered = bytes.length > 0 ? [bytes] : [];
    size = bytes.length;
  };
  const parse = () => {
    for (;;) {
      if (size === 0) return;
      if (!head) {
        const bytes = take();
        const end = bytes.indexOf(HEAD_END);
        if (end < 0) return;
        head = parseHead(bytes.subarray(0, end).toString('latin1'));
        keep(bytes.subarray(end + HEAD_END.length));
      }
      const length = head.headers['content-length'];
      const isChunked = head.headers['transfer-encoding'] === 'chunked';
      if (length === undefined && !isChunked) return;
      if (length !== undefined && size < Number(length)) return;
      const taken = isChunked
        ? takeChunks(take())
        : { body: take().subarray(0, Number(length)), used: Number(length) };
      if (!taken) return;
      const answer = { ...head, body: Buffer.from(taken.body), complete: true };
      const rest = take().subarray(taken.used);
      head = undefined;
      keep(rest);
      settle(answer);
    }
  };
  const end = (how) => {
    if (closed) return;
    closed = how;
    const isUnframed =
      head &&
      head.headers['content-length'] === undefined &&
      head.headers['transfer-encoding'] === undefined;
    if (head) {
      const body = size > 0 ? take() : Buffer.alloc(0);
      settle({ ...head, body, complete: Boolean(isUnframed) && how === 'fin', closed: how });
    }
    while (waiting.length > 0) settle({ status: 0, complete: false, closed: how });
  };
  socket.on('data', (part) => {
    buffered.push(part);
    size += part.length;
    // A body with a length is looked at once it may be complete.
    const length = head?.headers['content-length'];
    if (length === undefined || size >= Number(length)) parse();
  });
  socket.on('end', () => end('fin'));
  socket.on('error', () => end('reset'));
  socket.on('close', () => end('fin'));
  return {
    socket,
    isOpen: () => !closed,
    expect: () =>
      new Promise((done) => {
        if (closed) done({ status: 0, complete: false, closed });
        else waiting.push(done);
      }),
    close: () => socket.destroy(),
  };
};

/** Awaits an answer; adds the request's id, and when it was sent and answered. */
export const timed = async (id, answer) => {
  const sentAt = performance.now();
  const got = await answer;
  return { id, sentAt, answeredAt: performance.now(), ...got };
};

/** Sends one request on a connection and awaits its answer. */
export const send = (connection, request, body) => {
  const headers = body ? { ...request.headers, 'Content-Length': body.length } : request.headers;
  const answer = timed(request.id, connection.expect());
  connection.socket.write(requestHead({ ...request, headers }));
  if (body) connection.socket.write(body);
  return answer;
};
