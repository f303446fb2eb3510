/**
 * The entry's http routes: the callers' entry list, service requests,
 * metrics and health. Unknown paths and services get typed refusals.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SpanKind, context, trace } from '@opentelemetry/api';
import type { EntriesReply, EntryAddress } from '@cardamomladder/callers';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import { extractContext, tracer } from '@cardamomladder/telemetry';
import { serviceName } from '@cardamomladder/types';
import type { Fleet } from '../state/fleet';
import type { ForwardingContext } from './forwarding';
import { forward } from './forwarding';
import { refuse } from './refusal';

const spans = tracer('entry');

/** How long callers may cache the entry list, in ms. */
const ENTRIES_TTL_MS = 10_000;

/** What the routes need from the daemon. */
export type RouteContext = ForwardingContext & {
  fleet: Fleet;
  metrics: EntryMetrics;
  self: EntryAddress;
  entries: () => EntryAddress[];
  /** True once a planned stop began: new requests are refused as not run. */
  stopping: () => boolean;
  onRequest: (done: Promise<unknown>) => void;
};

/** Orders entries for a caller: its failure domain, then its region, then the rest. */
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
      .catch(() => refuse(res, 500, 'not-run', 'metrics', 'metrics could not be rendered'));
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
    refuse(
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
    refuse(
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
    const why =
      ctx.fleet.revision === 0
        ? 'no configuration is in force yet'
        : `service '${match[1]}' is not in the operators' document`;
    refuse(
      res,
      404,
      'not-run',
      'service-unknown',
      `${why}; check the service name or apply a document that defines it`,
      ctx.fleet.revision === 0 ? 1000 : undefined,
    );
    return;
  }
  const started = performance.now();
  const span = spans.startSpan(
    'entry.request',
    { kind: SpanKind.SERVER, attributes: { service: match[1] } },
    extractContext(req.headers),
  );
  const done = context
    .with(trace.setSpan(context.active(), span), () =>
      forward(req, res, steering, `${match[2] ?? '/'}${url.search}`, ctx, span),
    )
    .then((outcome) => {
      ctx.metrics.requestSeconds.observe(
        { service: match[1], outcome },
        (performance.now() - started) / 1000,
      );
      span.setAttribute('outcome', outcome);
    })
    .catch((error: Error) => {
      refuse(
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
