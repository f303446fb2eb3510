/** Stand-in for an upstream, as PROTOCOL.md describes it: registers itself, runs requests and answers them. */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1500;

/**
 * Starts an upstream. `answer(run)` may return how a request is answered: `workMs`,
 * `body`, `framing` ('length' or 'none') and `status`.
 */
export const startUpstream = async ({
  id,
  service,
  zone,
  store,
  slots = 9,
  workMs = 20,
  answer = () => ({}),
  onEvent = () => {},
}) => {
  const runs = [];
  let running = 0;
  let sequence = 0;
  const born = Date.now();
  const load = () => `${running},0,${slots}`;

  const handle = async (req, res) => {
    if (req.url === '/health') {
      res.writeHead(200, { 'x-instance-id': id, 'x-server-load': load(), 'content-length': 0 });
      res.end();
      return;
    }
    const requestId = req.headers['x-request-id'];
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const refuse = (status) => {
      res.writeHead(status, {
        'x-not-executed': '1',
        'x-instance-id': id,
        'x-server-load': load(),
        'content-length': 0,
        ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
      });
      res.end();
    };
    if (requestId === undefined) {
      refuse(400);
      return;
    }
    const target = req.headers['x-target-instance'];
    if (target !== undefined && target !== id) {
      refuse(421);
      return;
    }
    if (running >= slots) {
      refuse(503);
      return;
    }
    running += 1;
    const run = {
      upstream: id,
      id: requestId,
      method: req.method,
      path: req.url,
      body: Buffer.concat(chunks).toString('latin1'),
      startedAt: performance.now(),
      endedAt: undefined,
      end: 'running',
    };
    runs.push(run);
    onEvent('runs', run);
    const how = {
      workMs,
      framing: 'length',
      status: 200,
      body: `${id}:${requestId}`,
      ...answer(run),
    };
    let timer;
    const finish = (end) => {
      if (run.end !== 'running') return;
      run.end = end;
      run.endedAt = performance.now();
      running -= 1;
      clearTimeout(timer);
      onEvent(end === 'answered' ? 'answers' : 'drops', run);
    };
    timer = setTimeout(() => {
      const body = Buffer.from(how.body);
      res.shouldKeepAlive = how.framing === 'length';
      res.useChunkedEncodingByDefault = how.framing === 'length';
      res.writeHead(how.status, {
        'x-request-id': requestId,
        'x-response-signature': `sig-${id}-${requestId}`,
        'x-server-load': load(),
        ...(how.framing === 'length' ? { 'content-length': body.length } : {}),
      });
      res.end(body);
      finish('answered');
    }, how.workMs);
    res.on('close', () => finish('dropped'));
  };

  const server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;
  const register = (State = 'ready') => {
    sequence += 1;
    store.put(`servers/${id}`, {
      Service: service,
      Address: address,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State,
      ColdLeftMs: 0,
      Sequence: sequence,
      born,
    });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  return {
    id,
    address,
    runs,
    close: () => {
      clearInterval(heartbeat);
      server.close();
      server.closeAllConnections();
    },
  };
};
