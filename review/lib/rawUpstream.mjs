/**
 * Stand-in for an upstream on raw sockets. It runs and answers requests as PROTOCOL.md
 * describes it; `answer` decides how the bytes of an answer are sent.
 */
import { createServer } from 'node:net';

const HEARTBEAT_MS = 1500;
const HEAD_END = '\r\n\r\n';

/** Starts an upstream. `answer({ socket, head, requestId })` writes the answer to a request that has run. */
export const startRawUpstream = async ({
  id,
  service,
  zone,
  store,
  slots,
  workMs,
  answer,
  onRun,
}) => {
  let running = 0;
  let sequence = 0;
  const born = Date.now();
  const load = () => `X-Server-Load: ${running},0,${slots}\r\n`;

  const handle = (socket, head, onEnd) => {
    const headerOf = (name) => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1].trim();
    const requestId = headerOf('X-Request-Id');
    const target = headerOf('X-Target-Instance');
    const respond = (status, headers) =>
      socket.write(`HTTP/1.1 ${status}\r\n${headers}${load()}Content-Length: 0\r\n\r\n`);
    const refuse = (status) =>
      respond(status, `X-Not-Executed: 1\r\nX-Request-Id: ${requestId}\r\n`);
    if (head.startsWith('GET /health ')) {
      respond('200 OK', `X-Instance-Id: ${id}\r\n`);
      return;
    }
    if (target !== undefined && target !== id) {
      refuse('421 Misdirected Request');
      return;
    }
    if (running >= slots) {
      refuse('503 Service Unavailable');
      return;
    }
    running += 1;
    onRun(requestId, id);
    let isOver = false;
    const end = () => {
      if (!isOver) running -= 1;
      isOver = true;
    };
    onEnd(end);
    setTimeout(() => {
      end();
      if (socket.destroyed) return;
      const signature = `X-Response-Signature: sig-${id}-${requestId}\r\n`;
      answer({ socket, requestId, head: `X-Request-Id: ${requestId}\r\n${signature}${load()}` });
    }, workMs);
  };

  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    let bytes = Buffer.alloc(0);
    let endRun = () => {};
    const onEnd = (end) => {
      endRun = end;
    };
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const at = bytes.indexOf(HEAD_END);
        if (at < 0) return;
        const head = bytes.subarray(0, at).toString('latin1').replaceAll('\r\n', '\n');
        const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
        const end = at + HEAD_END.length + length;
        if (bytes.length < end) return;
        bytes = bytes.subarray(end);
        handle(socket, head, onEnd);
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      endRun();
      sockets.delete(socket);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const register = () => {
    sequence += 1;
    store.put(`servers/${id}`, {
      Service: service,
      Address: `127.0.0.1:${server.address().port}`,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: sequence,
      born,
    });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  return {
    id,
    close: () => {
      clearInterval(heartbeat);
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
