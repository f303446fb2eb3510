/**
 * A client on a raw socket, so that the record shows how a connection ends: with an
 * orderly close (FIN), which ends an answer without a length, or with a reset.
 */
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';

/** The text of a request without a body. */
export const requestText = ({ method = 'GET', path, host, id, key = id, deadlineMs }) =>
  [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Request-Id: ${id}`,
    `X-Affinity-Key: ${key}`,
    `X-Request-Deadline-Ms: ${deadlineMs}`,
    ...(method === 'POST' ? ['Content-Length: 0'] : []),
    HEAD_END.slice(2),
  ].join('\r\n');

const parseHead = (text) => {
  const [statusLine, ...lines] = text.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(statusLine.split(' ')[1]), headers };
};

/**
 * Sends requests on one new connection, in one write, and reads the answers in order.
 * Resolves when all are answered or the connection has ended; `end` tells how:
 * 'kept', 'closed' (FIN), 'reset' or 'timeout'. An answer is `complete` if it has its
 * whole length, or has no length and its connection was closed in order.
 */
export const exchange = (address, requests, timeoutMs) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host);
    const answers = [];
    let buffer = Buffer.alloc(0);
    let current;
    let done = false;
    let timer;

    const finish = (end) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      if (current) {
        const complete = current.length === undefined && end === 'closed';
        answers.push({ ...current, body: buffer, complete });
      }
      socket.destroy();
      resolve({ answers, end });
    };
    timer = setTimeout(() => finish('timeout'), timeoutMs);
    const parse = () => {
      for (;;) {
        if (!current) {
          const at = buffer.indexOf(HEAD_END);
          if (at < 0) return;
          const head = parseHead(buffer.subarray(0, at).toString('latin1'));
          buffer = buffer.subarray(at + HEAD_END.length);
          const length = head.headers['content-length'];
          current = { ...head, length: length === undefined ? undefined : Number(length) };
        }
        if (current.length === undefined || buffer.length < current.length) return;
        answers.push({ ...current, body: buffer.subarray(0, current.length), complete: true });
        buffer = buffer.subarray(current.length);
        current = undefined;
        if (answers.length === requests.length) {
          finish('kept');
          return;
        }
      }
    };
    let chunks = [];
    let waiting = 0;
    socket.on('connect', () => socket.write(requests.map(requestText).join('')));
    socket.on('data', (chunk) => {
      // Long bodies are joined only now and then.
      chunks.push(chunk);
      waiting += chunk.length;
      if (current && current.length === undefined && waiting < 4_000_000) return;
      buffer = Buffer.concat([buffer, ...chunks]);
      chunks = [];
      waiting = 0;
      parse();
    });
    const flush = () => {
      buffer = Buffer.concat([buffer, ...chunks]);
      chunks = [];
      parse();
    };
    socket.on('end', () => {
      flush();
      finish('closed');
    });
    socket.on('error', (error) => {
      flush();
      finish(error.code === 'ECONNRESET' ? 'reset' : `failed: ${error.code}`);
    });
    socket.on('close', () => finish('closed'));
  });
