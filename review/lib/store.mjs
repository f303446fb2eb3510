/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 50;

const readJson = async (req) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

/** Starts the store on a free loopback port. */
export const startStore = async () => {
  const items = new Map();
  const events = [];
  const leases = new Map();
  const watches = new Set();
  let revision = 0;
  let nextLease = 1;

  const commit = (writes, deletes) => {
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
    [...watches].forEach(({ check }) => check());
    return revision;
  };
  const endLease = (id) => {
    if (!leases.delete(id)) return false;
    const keys = [...items.values()].filter(({ Lease }) => Lease === id).map(({ Key }) => Key);
    if (keys.length > 0) commit([], keys);
    return true;
  };
  const leaseTimer = setInterval(() => {
    [...leases]
      .filter(([, { expiresAt }]) => expiresAt <= performance.now())
      .forEach(([id]) => endLease(id));
  }, LEASE_CHECK_MS);

  const send = (res, status, body) => {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  };
  const range = (url, res) => {
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    send(res, 200, {
      items: found.slice(0, PAGE_ITEMS),
      HasMore: found.length > PAGE_ITEMS,
      CurrentRev: revision,
    });
  };
  const watch = (url, res) => {
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const find = () => events.filter((e) => e.Revision > after && e.Key.startsWith(prefix));
    const watched = { timer: undefined, check: () => {} };
    const end = () => {
      clearTimeout(watched.timer);
      watches.delete(watched);
    };
    const answer = () => {
      end();
      send(res, 200, { events: find(), CurrentRev: revision });
    };
    watched.check = () => {
      if (find().length > 0) answer();
    };
    watched.timer = setTimeout(answer, Number(url.searchParams.get('WaitMs') ?? 0));
    watches.add(watched);
    res.on('close', end);
    watched.check();
  };
  const transaction = (body, res) => {
    const failed = (body.Expect ?? []).filter(
      ({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) !== Revision,
    );
    if (failed.length > 0) {
      const current = (body.Expect ?? []).map(({ Key }) => items.get(Key)).filter(Boolean);
      send(res, 412, { items: current });
      return;
    }
    const writes = body.Writes ?? [];
    if (!writes.every(({ Lease = 0 }) => Lease === 0 || leases.has(Lease))) send(res, 404, {});
    else send(res, 200, { Revision: commit(writes, body.Deletes ?? []) });
  };
  const grant = ({ TtlMs }, res) => {
    const id = nextLease;
    nextLease += 1;
    leases.set(id, { ttlMs: TtlMs, expiresAt: performance.now() + TtlMs });
    send(res, 200, { Lease: id, TtlMs });
  };
  const keep = (id, res) => {
    const lease = leases.get(id);
    if (lease) lease.expiresAt = performance.now() + lease.ttlMs;
    send(res, lease ? 200 : 404, {});
  };

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const { pathname } = url;
    readJson(req).then(
      (body) => {
        if (pathname === '/v1/kv-range') range(url, res);
        else if (pathname === '/v1/kv-watch') watch(url, res);
        else if (pathname === '/v1/kv-txn') transaction(body, res);
        else if (pathname === '/v1/kv-lease') grant(body, res);
        else if (pathname.startsWith('/v1/kv-keep/')) keep(Number(pathname.slice(12)), res);
        else if (pathname.startsWith('/v1/kv-lease-end/'))
          send(res, endLease(Number(pathname.slice(17))) ? 200 : 404, {});
        else send(res, 404, {});
      },
      () => res.destroy(),
    );
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a value as the operator or an upstream does. */
    put: (Key, value) => commit([{ Key, Value: encode(value) }], []),
    remove: (Key) => commit([], [Key]),
    keys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      clearInterval(leaseTimer);
      server.close();
      server.closeAllConnections();
    },
  };
};
