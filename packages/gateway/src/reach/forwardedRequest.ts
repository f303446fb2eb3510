/**
 * What an instance tells a peer about a request that it forwards. Everything that is
 * counted once per request (the customer's rate limit, the retry budget's share of the
 * request) has been counted at the instance that the caller is connected to.
 */
import { Result } from 'neverthrow';
import { z } from 'zod';
import type { Route } from '@cardamomladder/routing';
import type { InstanceId, ServiceName } from '@cardamomladder/types';
import { instanceId, serviceName } from '@cardamomladder/types';

/** Header of a forwarded request; only read on the address for peers. */
export const FORWARDED_HEADER = 'cardamomladder-forwarded';
/** Header of the response of a peer that cannot serve the request, mostly since it is cut off itself; names an instance that serves its requests, if there is one. */
export const CUT_OFF_HEADER = 'cardamomladder-cut-off';

const schema = z.object({
  to: z.string().transform(instanceId),
  caller: z.string(),
  customer: z.string().optional(),
  service: z.string().transform(serviceName).optional(),
  waitedBeforeMs: z.number().min(0),
  attempts: z.number().int().min(1),
});

/** A forwarded request, apart from what its other headers say. */
export interface ForwardedRequest {
  /** The peer that it is meant for; addresses may be used again by others. */
  to: InstanceId;
  /** The address that the caller connected from. */
  caller: string;
  /** Name of the customer whose rate limit it was counted against. */
  customer?: string;
  /** The service that it was counted for; unset by instances of earlier versions. */
  service?: ServiceName;
  waitedBeforeMs: number;
  /** The number of targets that it may still be sent to. */
  attempts: number;
}

/** Encodes the header; customer names may contain characters that headers must not. */
export const encodeForwarded = (forwarded: ForwardedRequest): string =>
  encodeURIComponent(JSON.stringify(forwarded));

/** Decodes the header, or explains what is wrong with it. */
export const decodeForwarded = (text: string): Result<ForwardedRequest, Error> =>
  Result.fromThrowable(
    () => schema.parse(JSON.parse(decodeURIComponent(text))),
    (error) => new Error(`header ${FORWARDED_HEADER}: ${(error as Error).message}`),
  )();

/** The service that the forwarding instance counted the request for, if the route still sends requests there. */
export const countedServiceOf = (
  { service }: Pick<ForwardedRequest, 'service'>,
  { destinations }: Pick<Route, 'destinations'>,
): ServiceName | undefined =>
  destinations.find((destination) => destination.service === service)?.service;
