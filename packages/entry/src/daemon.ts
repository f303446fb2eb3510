/**
 * The entry daemon: one per entry instance, on a single event loop. It
 * registers itself so that callers can find it, watches the operators'
 * document, polls the member list, updates the steering periodically and
 * serves callers. A graceful shutdown first removes the registration, rejects
 * new requests as "not run" with `connection: close`, and waits up to
 * `drainGraceMs` for the requests in flight.
 */
import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { EntryAddress } from '@cardamomladder/callers';
import type { Document } from '@cardamomladder/document';
import { ConnectionCloser, breakOff } from '@cardamomladder/http-json';
import { createMemberClient } from '@cardamomladder/member-list';
import { createKvClient } from '@cardamomladder/platform-kv';
import type { EntrySettings } from '@cardamomladder/settings';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import { entryMetrics, logger } from '@cardamomladder/telemetry';
import { watchConfig } from './state/config';
import { DedupCache } from './state/dedup';
import { Fleet } from './state/fleet';
import { startRegistry } from './state/registry';
import { RetryBudget } from './state/retryBudget';
import { route } from './server/routes';

const log = logger('entry');

/** Key prefix under which entries register themselves. */
export const ENTRIES_PREFIX = 'cardamomladder/entries/';

/** Time in which callers receive the last responses and close their connections at a stop, ms. */
const MAX_CLOSE_MS = 2000;

/** A running entry daemon. */
export interface Entry {
  address: string;
  fleet: Fleet;
  metrics: EntryMetrics;
  server: Server;
  /** Resolves with the current document, once there is one. */
  ready: () => Promise<Document>;
  /** Stops gracefully; resolves with the duration in ms. */
  stop: () => Promise<number>;
}

/** Options for tests and the demo: the random source and whether to collect process metrics. */
export interface EntryOptions {
  random?: () => number;
  processMetrics?: boolean;
}

/** Starts an entry daemon; `settings` must have been validated. */
export const startEntry = async (
  settings: EntrySettings,
  options: EntryOptions = {},
): Promise<Entry> => {
  const metrics = entryMetrics(options.processMetrics ?? false);
  const onCall = (call: string) => metrics.storeCalls.inc({ call });
  const kv = createKvClient({
    url: settings.platform.url,
    timeoutMs: settings.platform.timeoutMs,
    onCall,
  });
  const members = createMemberClient(settings.platform.url, onCall);
  const fleet = new Fleet();
  const inflight = new Set<Promise<unknown>>();
  const openResponses = new Set<ServerResponse>();
  let stopping = false;
  const random = options.random ?? Math.random;

  const server = createServer();
  const closer = new ConnectionCloser(server);
  await new Promise<void>((resolve) => {
    server.listen(settings.listen.port, settings.listen.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = settings.advertise ?? `${settings.listen.host}:${port}`;
  const self: EntryAddress = {
    id: settings.id,
    address,
    failureDomain: settings.failureDomain,
    region: settings.region,
  };

  const config = watchConfig(kv, settings.platform.documentKey, {
    waitMs: settings.platform.watchWaitMs,
    random,
  });
  const configSubscription = config.state.subscribe((state) => {
    if (state.document && state.document.revision > fleet.revision) {
      fleet.applyDocument(state.document);
      metrics.documentRevision.set(state.document.revision);
    }
  });
  const registry = startRegistry(kv, ENTRIES_PREFIX, self, {
    leaseTtlMs: settings.leaseTtlMs,
    waitMs: settings.platform.watchWaitMs,
  });

  // Request the list only if it changed since the known version: the full list
  // is 265 KB per poll at the fleet size in docs/CAPACITY.md, 29 times the
  // control traffic budget of 9 KB/s, and changes only a few hundred times a day.
  let membersVersion: number | undefined;
  const pollMembers = () => {
    members.list(membersVersion).match(
      (reply) => {
        membersVersion = reply.version;
        if (!reply.unchanged) fleet.applyMembers(reply.members, Date.now());
      },
      () => {},
    );
  };
  pollMembers();
  const membersTimer = setInterval(pollMembers, settings.membersPollMs);
  const tickTimer = setInterval(() => {
    const now = Date.now();
    fleet.tick(now);
    fleet.services.forEach((steering, service) => {
      steering
        .headroomByRegion(now)
        .forEach((h, region) => metrics.regionHeadroom.set({ service, region }, h));
      steering.currentSplit.forEach((share, region) =>
        metrics.regionShare.set({ service, region }, share),
      );
    });
  }, settings.tickMs);

  const dedup = new DedupCache();
  const budget = new RetryBudget();
  server.on('request', (req, res) => {
    openResponses.add(res);
    res.once('close', () => openResponses.delete(res));
    route(req, res, {
      fleet,
      metrics,
      dedup,
      budget,
      random,
      connectTimeoutMs: settings.connectTimeoutMs,
      self,
      entries: registry.entries,
      stopping: () => stopping,
      onRequest: (done) => {
        inflight.add(done);
        done.finally(() => inflight.delete(done)).catch(() => {});
      },
    });
  });
  log.info('entry listening', { id: settings.id, address, failureDomain: settings.failureDomain });

  const ready = () =>
    new Promise<Document>((resolve) => {
      const subscription = config.state.subscribe((state) => {
        if (state.document) {
          resolve(state.document);
          queueMicrotask(() => subscription.unsubscribe());
        }
      });
    });

  const stop = async () => {
    const startedAt = Date.now();
    stopping = true;
    await registry.deregister();
    const closed = closer.closeAll(settings.drainGraceMs + MAX_CLOSE_MS);
    await Promise.race([
      Promise.allSettled([...inflight]),
      new Promise((resolve) => {
        setTimeout(resolve, settings.drainGraceMs).unref();
      }),
    ]);
    // A part of a response that ends with its connection would look whole after an orderly close.
    openResponses.forEach(breakOff);
    await closed;
    clearInterval(membersTimer);
    clearInterval(tickTimer);
    configSubscription.unsubscribe();
    config.stop();
    registry.stop();
    const ms = Date.now() - startedAt;
    log.info('entry stopped', { id: settings.id, drainMs: ms });
    return ms;
  };

  return { address, fleet, metrics, server, ready, stop };
};
