/** Bounds what is read of messages whose rest nobody needs, and which may never end. */
import type { IncomingMessage, Server } from 'node:http';

/** Maximum size of a rest that is read so that the connection can be used again, bytes. */
const MAX_REST_BYTES = 256 * 1024;
/** Maximum time for which it is read, ms. */
const MAX_REST_MS = 500;
const CHECK_INTERVAL_MS = 50;
/** Maximum time in which a server receives a request, ms: the largest message over a link of 10 Mbit/s, three times. */
const MAX_REQUEST_MS = 3000;

/** Reads the rest of a message without keeping it, and closes its connection if it does not end soon. */
export const discardRest = (message: IncomingMessage): void => {
  let bytes = 0;
  const timer = setTimeout(() => message.destroy(), MAX_REST_MS);
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_REST_BYTES) message.destroy();
  });
  message.on('error', () => {});
  message.on('close', () => clearTimeout(timer));
};

/** Closes the connection of an answered request whose body does not end soon; Node.js reads it without a limit. */
export const closeUnlessReceived = (req: IncomingMessage): void => {
  const { socket } = req;
  if (req.complete || socket.destroyed) return;
  const bytesBefore = socket.bytesRead;
  const giveUpAt = performance.now() + MAX_REST_MS;
  const timer = setInterval(() => {
    const isTooMuch = socket.bytesRead - bytesBefore > MAX_REST_BYTES;
    const isOver = isTooMuch || performance.now() > giveUpAt;
    if (!req.complete && isOver) socket.destroySoon();
    if (req.complete || isOver || socket.destroyed) clearInterval(timer);
  }, CHECK_INTERVAL_MS);
};

/** Bounds the requests of a server whose callers are other parts of the system: their time, and what is read behind an early response. */
export const boundRequests = (server: Server): Server => {
  Object.assign(server, { headersTimeout: MAX_REQUEST_MS, requestTimeout: MAX_REQUEST_MS });
  server.on('request', (req, res) => res.once('finish', () => closeUnlessReceived(req)));
  return server;
};
