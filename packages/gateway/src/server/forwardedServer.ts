/**
 * Serves requests that peers forward while they reach no target. The peer has checked
 * the caller's credentials and rate limit, and counts the request; this instance sends
 * it to targets, at most as often as the peer allows, and never forwards it again.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BehaviorSubject } from 'rxjs';
import { SpanKind } from '@opentelemetry/api';
import { intersectHomeRegions } from '@cardamomladder/customers';
import type { MemoryBudget } from '@cardamomladder/http-json';
import { BodyError } from '@cardamomladder/http-json';
import type { Route } from '@cardamomladder/routing';
import { tracer } from '@cardamomladder/telemetry';
import type { InstanceId, RequestId } from '@cardamomladder/types';
import type { Phase } from '../lifecycle/phase';
import type { ForwardedRequest } from '../reach/forwardedRequest';
import {
  CUT_OFF_HEADER,
  FORWARDED_HEADER,
  countedServiceOf,
  decodeForwarded,
} from '../reach/forwardedRequest';
import type { CallerRequest } from '../requests/callerRequest';
import {
  callerLeavesAt,
  deadlineOf,
  headerValues,
  placementKey,
  receiveBody,
  requestIdOf,
  requestedTimeoutMs,
} from '../requests/callerRequest';
import { sendGatewayResponse } from '../requests/responses';
import type { ServeContext } from '../requests/requestExecution';
import { serve } from '../requests/serve';
import { CREDENTIALS_HEADER } from '../wireProtocol';
import type { CallerConnections } from './callerConnections';
import type { ConfiguredRoutes } from './configuredRoutes';

const spans = tracer('gateway');

/** Body size limit before the first configuration; requests are rejected then anyway. */
const MAX_BODY_BYTES = 64 * 1024;
/** Time within which a peer sends a body that it holds completely, ms: the largest one over a link of 10 Mbit/s. */
const MAX_BODY_MS = 1000;
/** Retry delay if this instance has a different configuration than the peer, ms: they have the same one a moment later. */
const OTHER_CONFIGURATION_RETRY_MS = 200;

/** Dependencies of the server. */
export interface ForwardedServerOptions extends ServeContext {
  self: InstanceId;
  phase: BehaviorSubject<Phase>;
  configured: ConfiguredRoutes;
  connections: CallerConnections;
  /** The memory that bodies of requests share. */
  bodies: MemoryBudget;
}

/** Creates the handler of forwarded requests. */
export const createForwardedServer = (options: ForwardedServerOptions) => {
  const { self, phase, configured, connections, bodies, wire, metrics, log, now } = options;

  const rejectNotRun = (res: ServerResponse, reason: string, retryAfterMs: number): void => {
    metrics.forwardedForPeers.inc({ outcome: 'rejected' });
    res.setHeader(wire.headers.notRun, '1');
    sendGatewayResponse(res, { status: 503, message: `not run: ${reason}`, retryAfterMs });
  };

  const toRequest = (
    req: IncomingMessage,
    id: RequestId,
    route: Route,
    forwarded: ForwardedRequest,
    body: Buffer | undefined,
  ): CallerRequest | undefined => {
    const customer =
      forwarded.customer === undefined ? undefined : configured.customerNamed(forwarded.customer);
    if (forwarded.customer !== undefined && !customer) return undefined;
    const homeRegions = intersectHomeRegions(route.homeRegions, customer?.homeRegions ?? []);
    if (homeRegions === 'nowhere') return undefined;
    const arrivedAt = now();
    const waitMs = requestedTimeoutMs(req, wire.headers);
    return {
      id,
      caller: forwarded.caller,
      credentials: headerValues(req, CREDENTIALS_HEADER).join(' '),
      host: req.headers.host ?? '',
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      route: { ...route, maxAttempts: forwarded.attempts },
      service: countedServiceOf(forwarded, route) ?? configured.split.next(route),
      customer,
      homeRegions,
      priority: customer?.priority ?? route.priority,
      key: placementKey(req, wire.headers, route.name, id),
      body,
      arrivedAt,
      deadlineAt: deadlineOf(route, waitMs, arrivedAt),
      callerLeavesAt: callerLeavesAt(waitMs, arrivedAt),
      isForwarded: true,
      waitedBeforeMs: forwarded.waitedBeforeMs,
    };
  };

  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const decoded = decodeForwarded(String(req.headers[FORWARDED_HEADER]));
    const id = requestIdOf(req, wire.headers);
    if (decoded.isErr() || !id) {
      const message = decoded.isErr() ? decoded.error.message : 'the request names no id';
      log.write('malformed', id, { message });
      sendGatewayResponse(res, { status: 400, message });
      return;
    }
    res.setHeader(wire.headers.requestId, id);
    const maxBytes = configured.limits?.bodyBytes ?? MAX_BODY_BYTES;
    const body = await receiveBody(req, res, { maxBytes, maxMs: MAX_BODY_MS, memory: bodies });
    if (res.headersSent) return;
    const route = configured.routes?.(req.headers.host ?? '', req.url ?? '/');
    const isServing = phase.value === 'serving' || phase.value === 'leaving';
    if (decoded.value.to !== self || !isServing) {
      // Another peer may serve it.
      res.setHeader(CUT_OFF_HEADER, '');
      rejectNotRun(res, `instance ${decoded.value.to} does not serve here`, 0);
      return;
    }
    if (body === 'no-room') {
      // Another peer may have room.
      res.setHeader(CUT_OFF_HEADER, '');
      rejectNotRun(res, 'no memory for the body', 0);
      return;
    }
    const request =
      route && body !== 'too-large' && body !== 'too-late'
        ? toRequest(req, id, route, decoded.value, body)
        : undefined;
    if (!request) {
      rejectNotRun(res, 'this instance has another configuration', OTHER_CONFIGURATION_RETRY_MS);
      return;
    }
    const span = spans.startSpan('gateway.forwarded', { kind: SpanKind.SERVER });
    const outcome = await serve(request, req, res, options, span);
    span.setAttribute('outcome', outcome);
    span.end();
    metrics.forwardedForPeers.inc({ outcome });
  };

  return (req: IncomingMessage, res: ServerResponse): void => {
    if (!connections.trackUntilAnswered(req, res, phase)) return;
    handle(req, res).catch((error: Error) => {
      if (error instanceof BodyError) {
        if (!res.headersSent) rejectNotRun(res, error.message, 0);
        return;
      }
      log.write('failed', requestIdOf(req, wire.headers), { reason: error.message });
      if (!res.headersSent) sendGatewayResponse(res, { status: 502, message: 'internal error' });
    });
  };
};
