/**
 * An upstream stand-in: slots with a short queue, load reports, the check of the intended
 * upstream, and a registration that is renewed. `answer` writes the answer of a run.
 */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1500;

/** Headers of an answer to the request. */
export const answerHeaders = (upstream, req) => ({
  'X-Request-Id': req.headers['x-request-id'],
  'X-Response-Signature': `sig.${upstream.id}`,
  'X-Server-Load': upstream.load(),
});

/** Answers with a length. */
export const answerWhole = (upstream, req, res, body) => {
  res.writeHead(200, { ...answerHeaders(upstream, req), 'content-length': body.length });
  res.end(body);
};

/** Starts an upstream on a free loopback port and registers it. */
export const startUpstream = async (store, options) => {
  const { id, service, zone, slots = 8, queue = 8, workMs = 100, answer } = options;
  /** What arrived and ran: id, method, path, bytes of the body, when, and when it ended. */
  const runs = [];
  const queued = [];
  const sockets = new Set();
  let running = 0;
  let sequence = 0;
  const upstream = { id, service, runs, load: () => `${running},${queued.length},${slots}` };

  const finish = () => {
    running -= 1;
    queued.shift()?.();
  };
  const run = (req, res, bytes) => {
    running += 1;
    const entry = {
      id: req.headers['x-request-id'],
      method: req.method,
      path: req.url,
      bytes,
      at: performance.now(),
      upstream: id,
    };
    runs.push(entry);
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      entry.endedAt = performance.now();
      finish();
    };
    res.once('close', end);
    setTimeout(() => {
      if (ended) return;
      entry.finished = true;
      end();
      answer(upstream, req, res, entry);
    }, workMs);
  };
  const refuse = (req, res, status) => {
    res.writeHead(status, {
      'X-Request-Id': req.headers['x-request-id'] ?? '',
      'X-Not-Executed': '1',
      'X-Instance-Id': id,
      'X-Server-Load': upstream.load(),
      'content-length': 0,
    });
    res.end();
  };
  const server = createServer({ keepAliveTimeout: 10_000, maxHeaderSize: 65_536 }, (req, res) => {
    if (req.url === '/health') {
      res.writeHead(200, {
        'X-Instance-Id': id,
        'X-Server-Load': upstream.load(),
        'content-length': 0,
      });
      res.end();
      return;
    }
    if (req.headers['x-target-instance'] !== id) {
      refuse(req, res, 421);
      return;
    }
    let bytes = 0;
    req.on('data', (part) => {
      bytes += part.length;
    });
    req.on('error', () => {});
    req.on('end', () => {
      if (running < slots) run(req, res, bytes);
      else if (queued.length < queue) queued.push(() => run(req, res, bytes));
      else refuse(req, res, 503);
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((done) => {
    server.listen(0, '127.0.0.1', done);
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
    });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  upstream.close = () => {
    clearInterval(heartbeat);
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return upstream;
};
