/** A stand-in for the platform's store: items, watches, transactions and leases over HTTP. */
import { createServer } from 'node:http';

const ANSWER_DELAY_MS = 4;
const PAGE_ITEMS = 50;
const LEASE_SWEEP_MS = 50;

const readJson = async (req) => {
  const parts = [];
  for await (const part of req) parts.push(part);
  const text = Buffer.concat(parts).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

/** Starts the store on a free loopback port. */
export const startStore = async () => {
  const items = new Map();
  const leases = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 0;
  let nextLease = 1;

  const commit = (writes, deletes = []) => {
    revision += 1;
    writes.forEach(({ Key, Value, Lease = 0 }) => {
      const Created = items.get(Key)?.Created ?? revision;
      const item = { Key, Value, Revision: revision, Created, Lease };
      items.set(Key, item);
      events.push(item);
    });
    deletes
      .filter((Key) => items.delete(Key))
      .forEach((Key) => events.push({ Key, Revision: revision, Removed: true }));
    [...waiting].forEach((respond) => respond(false));
    return revision;
  };
  const endLease = (id) => {
    if (!leases.delete(id)) return false;
    const keys = [...items.values()].filter(({ Lease }) => Lease === id).map(({ Key }) => Key);
    if (keys.length > 0) commit([], keys);
    return true;
  };
  const sweep = setInterval(() => {
    const now = performance.now();
    [...leases].filter(([, { until }]) => until <= now).forEach(([id]) => endLease(id));
  }, LEASE_SWEEP_MS);

  const send = (res, status, body) => {
    const text = JSON.stringify(body);
    setTimeout(() => {
      res.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      res.end(text);
    }, ANSWER_DELAY_MS);
  };
  const answerRange = (query, res) => {
    const prefix = query.get('PathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const all = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    send(res, 200, {
      items: all.slice(0, PAGE_ITEMS),
      HasMore: all.length > PAGE_ITEMS,
      CurrentRev: revision,
    });
  };
  const answerWatch = (query, res) => {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('after'));
    let timer;
    const respond = (isLate) => {
      const found = events.filter((e) => e.Revision > after && e.Key.startsWith(prefix));
      if (found.length === 0 && !isLate) return;
      clearTimeout(timer);
      waiting.delete(respond);
      send(res, 200, { events: found, CurrentRev: revision });
    };
    waiting.add(respond);
    timer = setTimeout(() => respond(true), Number(query.get('WaitMs')));
    res.on('close', () => {
      clearTimeout(timer);
      waiting.delete(respond);
    });
    respond(false);
  };
  const answerTransaction = ({ Expect = [], Writes = [], Deletes = [] }, res) => {
    const stale = Expect.filter(
      ({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) !== Revision,
    );
    if (stale.length > 0)
      send(res, 412, { items: stale.map(({ Key }) => items.get(Key)).filter(Boolean) });
    else if (Writes.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))) send(res, 404, {});
    else send(res, 200, { Revision: commit(Writes, Deletes) });
  };
  const answerLease = (path, { TtlMs }, res) => {
    const id = Number(path.slice(path.lastIndexOf('/') + 1));
    if (path === '/v1/kv-lease') {
      leases.set(nextLease, { ttlMs: TtlMs, until: performance.now() + TtlMs });
      send(res, 200, { Lease: nextLease, TtlMs });
      nextLease += 1;
    } else if (path.startsWith('/v1/kv-keep/') && leases.has(id)) {
      const { ttlMs } = leases.get(id);
      leases.set(id, { ttlMs, until: performance.now() + ttlMs });
      send(res, 200, { TtlMs: ttlMs });
    } else if (path.startsWith('/v1/kv-lease-end/') && endLease(id)) send(res, 200, {});
    else send(res, 404, {});
  };
  const server = createServer(async (req, res) => {
    const url = new URL(req.url, 'http://store');
    const body = await readJson(req);
    const item = items.get(url.searchParams.get('Key'));
    if (url.pathname === '/v1/kv-range') answerRange(url.searchParams, res);
    else if (url.pathname === '/v1/kv-watch') answerWatch(url.searchParams, res);
    else if (url.pathname === '/v1/kv-txn') answerTransaction(body, res);
    else if (url.pathname === '/v1/kv-key')
      send(res, item ? 200 : 404, { ...item, CurrentRev: revision });
    else answerLease(url.pathname, body, res);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (Key, value) =>
      commit([{ Key, Value: Buffer.from(JSON.stringify(value)).toString('base64') }]),
    remove: (Key) => commit([], [Key]),
    close: () => {
      clearInterval(sweep);
      server.close();
      server.closeAllConnections();
    },
  };
};
