/** Forwards a request to a peer that reaches targets, and records the outcome. */
import type { OutgoingHttpHeaders } from 'node:http';
import { SpanKind, context, trace } from '@opentelemetry/api';
import { isIdempotent } from '@cardamomladder/routing';
import { tracer } from '@cardamomladder/telemetry';
import { instanceId } from '@cardamomladder/types';
import { FORWARDED_HEADER, encodeForwarded } from '../reach/forwardedRequest';
import type { ForwardingPeer } from '../reach/forwardingPeers';
import { isAborted, sendAttempt } from '../targets/attempt';
import { forwardedHeaders } from './responses';
import type { RequestExecution } from './requestExecution';
import type { Send } from './send';

const spans = tracer('gateway');

/** Connect timeout of peers, ms: several trips between any two regions, since another peer can take over. */
const PEER_CONNECT_TIMEOUT_MS = 250;

const forwardHeaders = (
  execution: RequestExecution,
  peer: ForwardingPeer,
  attempts: number,
): OutgoingHttpHeaders => {
  const { request, req, ctx } = execution;
  const headers = forwardedHeaders(req);
  delete headers.expect;
  headers[ctx.wire.headers.waitMs] = Math.max(1, Math.floor(request.deadlineAt - ctx.now()));
  headers[FORWARDED_HEADER] = encodeForwarded({
    to: peer.id,
    caller: request.caller,
    customer: request.customer?.name,
    service: request.service,
    waitedBeforeMs: request.waitedBeforeMs,
    attempts,
  });
  if (request.body) headers['content-length'] = request.body.length;
  return headers;
};

/** Starts forwarding the request to a peer. */
export const startForward = (execution: RequestExecution, peer: ForwardingPeer): Send => {
  const { request, ctx } = execution;
  const sentAt = ctx.now();
  const isRepeatable = isIdempotent(request.route.kind);
  const attempts = execution.attemptsToForward(isRepeatable);
  execution.countForward(peer.id);
  peer.connections.closeStaleConnections(isRepeatable ? 'may-repeat' : 'at-most-once');
  const parent = trace.setSpan(context.active(), execution.span);
  const span = spans.startSpan('gateway.forward', { kind: SpanKind.CLIENT }, parent);
  const attempt = sendAttempt({
    host: peer.host,
    port: peer.port,
    method: request.method,
    path: request.path,
    headers: () => forwardHeaders(execution, peer, attempts),
    body: request.body,
    requestId: request.id,
    timeoutMs: request.deadlineAt - sentAt,
    confirm: () => execution.endedBeforeSend(),
    memory: execution.openAnswerMemory(),
    whenNext: (callback) => execution.whenNext(callback),
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    connections: peer.connections,
    wire: ctx.wire,
    onStatement: () => {},
  });
  execution.setCurrentAttempt(attempt);
  const outcome = attempt.outcome.then((result) => {
    span.end();
    const name = result.kind === 'answer' ? 'answer' : result.reason;
    ctx.metrics.forwards.inc({ result: name });
    if (result.kind === 'answer' || result.reason === 'rejected') ctx.peers.recordServing(peer.id);
    if (result.kind === 'not-run' && result.otherPeer)
      ctx.peers.recordServing(instanceId(result.otherPeer));
    const isUnusable = result.kind !== 'answer' && result.reason !== 'rejected';
    if (isUnusable && !isAborted(result.reason)) {
      ctx.peers.avoid(peer.id);
      ctx.log.write('forward', request.id, {
        peer: peer.id,
        result: name,
        problem: result.kind === 'not-run' ? result.problem : undefined,
        ms: Math.round(ctx.now() - sentAt),
      });
    }
    return result;
  });
  return {
    outcome,
    likelyCached: false,
    sentAt,
    isConnected: attempt.isConnected,
    waitsForRoom: attempt.waitsForRoom,
    tookMs: () => ctx.now() - sentAt,
    cancel: () => attempt.cancel('timeout'),
  };
};
