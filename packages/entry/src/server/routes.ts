/**
 * HTTP routes of the entry: the entry list for callers, service requests,
 * metrics and health. Unknown paths and services get JSON error responses.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SpanKind, context, trace } from '@opentelemetry/api';
import type { EntriesReply, EntryAddress } from '@cardamomladder/callers';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import { extractContext, tracer } from '@cardamomladder/telemetry';
import { serviceName } from '@cardamomladder/types';
import type { Fleet } from '../state/fleet';
import type { ForwardingContext } from './forwarding';
import { forwardRequest } from './forwarding';
import { sendError } from './errorResponse';

const entryTracer = tracer('entry');

/** How long callers may cache the entry list, in ms. */
const ENTRIES_TTL_MS = 10_000;

/** Dependencies provided by the daemon. */
export type RouteContext = ForwardingContext & {
  fleet: Fleet;
  metrics: EntryMetrics;
  self: EntryAddress;
  entries: () => EntryAddress[];
  /** True once a graceful shutdown has begun; new requests are then rejected as not run. */
  stopping: () => boolean;
  onRequest: (done: Promise<unknown>) => void;
};

/** Sorts entries by proximity to a caller: same failure domain, same region, then the others. */
export const orderEntries = (
  all: EntryAddress[],
  failureDomain: string | null,
  region: string | undefined,
): EntryAddress[] => {
  const rank = (e: EntryAddress) => {
    if (e.failureDomain === failureDomain) return 0;
    return e.region === region ? 1 : 2;
  };
  return [...all].sort((a, b) => rank(a) - rank(b) || a.id.localeCompare(b.id));
};

/** Handles one request to the entry. */
export const route = (req: IncomingMessage, res: ServerResponse, ctx: RouteContext): void => {
  const url = new URL(req.url ?? '/', 'http://entry');
  if (url.pathname === '/v1/entries') {
    const fd = url.searchParams.get('failureDomain');
    const region = ctx.entries().find((e) => e.failureDomain === fd)?.region;
    const reply: EntriesReply = {
      entries: orderEntries(ctx.entries(), fd, region),
      ttlMs: ENTRIES_TTL_MS,
    };
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end(JSON.stringify(reply));
    return;
  }
  if (url.pathname === '/metrics') {
    ctx.metrics.registry
      .metrics()
      .then((text) => {
        res.writeHead(200, { 'content-type': ctx.metrics.registry.contentType });
        res.end(text);
      })
      .catch(() => sendError(res, 500, 'not-run', 'metrics', 'metrics could not be rendered'));
    return;
  }
  if (url.pathname === '/healthz') {
    const ready = ctx.fleet.revision > 0 && !ctx.stopping();
    res.writeHead(ready ? 200 : 503, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ revision: ctx.fleet.revision, stopping: ctx.stopping() }));
    return;
  }
  const match = /^\/s\/([^/?]+)(\/.*)?$/.exec(url.pathname);
  if (!match) {
    sendError(
      res,
      404,
      'not-run',
      'request-malformed',
      `no route ${url.pathname}; send service requests to /s/<service>/<path>`,
    );
    return;
  }
  if (ctx.stopping()) {
    res.setHeader('connection', 'close');
    sendError(
      res,
      503,
      'not-run',
      'not-run',
      'this entry is stopping; ask /v1/entries for another and send it there',
      0,
    );
    return;
  }
  const steering = ctx.fleet.services.get(serviceName(match[1]));
  if (!steering) {
    const cause =
      ctx.fleet.revision === 0
        ? 'no configuration is in force yet'
        : `service '${match[1]}' is not in the operators' document`;
    sendError(
      res,
      404,
      'not-run',
      'service-unknown',
      `${cause}; check the service name or apply a document that defines it`,
      ctx.fleet.revision === 0 ? 1000 : undefined,
    );
    return;
  }
  const startedAt = performance.now();
  const span = entryTracer.startSpan(
    'entry.request',
    { kind: SpanKind.SERVER, attributes: { service: match[1] } },
    extractContext(req.headers),
  );
  const done = context
    .with(trace.setSpan(context.active(), span), () =>
      forwardRequest(req, res, steering, `${match[2] ?? '/'}${url.search}`, ctx, span),
    )
    .then((outcome) => {
      ctx.metrics.requestSeconds.observe(
        { service: match[1], outcome },
        (performance.now() - startedAt) / 1000,
      );
      span.setAttribute('outcome', outcome);
    })
    .catch((error: Error) => {
      sendError(
        res,
        500,
        'unknown',
        'internal',
        `entry failed: ${error.message}; report this with the log line`,
      );
    })
    .finally(() => span.end());
  ctx.onRequest(done);
};
