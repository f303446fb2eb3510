/** Responses to requests that are rejected before they are served, with their log lines and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BodyError } from '@cardamomladder/http-json';
import type { Customer } from '@cardamomladder/customers';
import type { ClusterState } from '@cardamomladder/fleet';
import type { Route } from '@cardamomladder/routing';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { DecisionLog } from '../decisionLog';
import type { Quotas } from '../quota/quotas';
import { STOPPING, refuseStopping, sendGatewayResponse } from '../requests/responses';
import type { RemainingTime } from '../requests/remainingTime';
import { requestIdOf } from '../requests/callerRequest';
import type { WireProtocol } from '../wireProtocol';

/** Dependencies of the rejections. */
export interface RejectionOptions {
  clusterState: ClusterState;
  wire: WireProtocol;
  quotas: Pick<Quotas, 'describe'>;
  metrics: GatewayMetrics;
  log: DecisionLog;
}

/** Counts the outcome of a request for its customer, if it has one. */
export const countCustomerRequest = (
  metrics: GatewayMetrics,
  customer: Customer | undefined,
  outcome: string,
): void => {
  if (!customer) return;
  metrics.customerRequests.inc({ customer: metrics.customerLabel(customer.name), outcome });
};

/** Creates the rejections of one instance. */
export const createRejections = ({
  clusterState,
  wire,
  quotas,
  metrics,
  log,
}: RejectionOptions) => {
  const configuration = () => clusterState.configuration?.version;
  return {
    /** The request was not run, for a temporary reason (503). */
    notRun: (res: ServerResponse, reason: string, retryAfterMs: number): void => {
      metrics.rejections.inc({ reason });
      sendGatewayResponse(res, { status: 503, message: `not run: ${reason}`, retryAfterMs });
    },
    /** The request may not be complete before this process ends (503). */
    stopping: (res: ServerResponse, id: string, route: Route, remaining: RemainingTime): void => {
      metrics.rejections.inc({ reason: STOPPING });
      log.write('rejected', id, { reason: STOPPING, route: route.name, ...remaining });
      refuseStopping(res);
    },
    /** The request is malformed (400), or its body is (400, 408, 413, 431). */
    malformed: (
      res: ServerResponse,
      id: string | undefined,
      message: string,
      status: BodyError['status'] = 400,
    ): void => {
      log.write('malformed', id, { message });
      sendGatewayResponse(res, { status, message });
    },
    /** The body of the request was not complete at its deadline (408). */
    bodyIncomplete: (res: ServerResponse, id: string, allowedMs: number): void => {
      log.write('malformed', id, { message: 'body incomplete at the deadline', allowedMs });
      sendGatewayResponse(res, {
        status: 408,
        message: `not run: the body was not complete after ${Math.round(allowedMs)} ms`,
      });
    },
    /** The request has no valid credentials (401). */
    unknownCaller: (
      req: IncomingMessage,
      res: ServerResponse,
      route: Route,
      message: string,
    ): void => {
      metrics.rejections.inc({ reason: 'unauthorized' });
      log.write('unauthorized', requestIdOf(req, wire.headers), {
        reason: message,
        route: route.name,
        configuration: configuration(),
      });
      sendGatewayResponse(res, { status: 401, message, challenge: wire.keyScheme });
    },
    /** The request exceeds its customer's rate limit (429). */
    overLimit: (
      res: ServerResponse,
      id: string,
      customer: Customer,
      retryAfterMs: number,
    ): void => {
      metrics.rejections.inc({ reason: 'over-limit' });
      countCustomerRequest(metrics, customer, 'over-limit');
      log.write('over-limit', id, () => ({
        customer: customer.name,
        retryAfterMs: Math.round(retryAfterMs),
        configuration: configuration(),
        ...quotas.describe(customer),
      }));
      const message = `not run: ${customer.name} is over its limit of ${customer.limit?.perSecond} requests a second; come back as told, or have the operators raise the limit`;
      sendGatewayResponse(res, { status: 429, message, retryAfterMs });
    },
  };
};
