/** A caller's request as the gateway handles it: its route, its identity and the time it has. */
import type { IncomingMessage } from 'node:http';
import type { Customer } from '@cardamomladder/customers';
import type { Route } from '@cardamomladder/routing';
import type {
  ObjectKey,
  RegionName,
  RequestId,
  RouteName,
  ServiceName,
} from '@cardamomladder/types';
import { objectKey, requestId } from '@cardamomladder/types';
import type { HeaderNames } from '../wireNames';

/** One caller's request, read whole. Times on the steady clock, ms. */
export interface CallerRequest {
  id: RequestId;
  /** The address that the caller connected from. */
  caller: string;
  /** What the caller proves itself with; empty when it does not. */
  credentials: string;
  /** The host that the caller named. */
  host: string;
  method: string;
  /** Path and query, as the caller sent them. */
  path: string;
  route: Route;
  service: ServiceName;
  /** Whose request it is; unset on public routes, and where customers have no keys. */
  customer: Customer | undefined;
  /** Regions in which it may run; empty: anywhere. */
  homeRegions: readonly RegionName[];
  /** 0 is the most urgent: its customer's, or else its route's. */
  priority: number;
  key: ObjectKey;
  body: Buffer | undefined;
  arrivedAt: number;
  /** When the final answer is due at the latest. */
  finalAt: number;
  /** How long its caller has surely waited before, ms. */
  waitedBeforeMs: number;
}

/** A caller that states no time gets this long, ms. */
const DEFAULT_TIMEOUT_MS = 30_000;

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** How long the caller says that it will wait, ms; undefined when it says nothing usable. */
export const statedWaitMs = (req: IncomingMessage, names: HeaderNames): number | undefined => {
  const value = Number(firstValue(req.headers[names.waitMs]));
  return Number.isFinite(value) && value > 0 ? value : undefined;
};

/** When the final answer to a request on `route` is due, for a caller that waits `waitMs`. */
export const finalAnswerAt = (
  route: Route,
  waitMs: number | undefined,
  arrivedAt: number,
): number => arrivedAt + Math.min(waitMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs ?? Infinity);

/** The caller's id of this attempt; undefined when it sent none. */
export const requestIdOf = (req: IncomingMessage, names: HeaderNames): RequestId | undefined => {
  const value = firstValue(req.headers[names.requestId]);
  return value === undefined || value === '' ? undefined : requestId(value);
};

/**
 * What placing goes by: the object as the route knows it, or the request's id
 * when it names no object. Targets remember what they loaded for one route
 * apart from what another route asks of the same object.
 */
export const placingKey = (
  req: IncomingMessage,
  names: HeaderNames,
  route: RouteName,
  id: RequestId,
): ObjectKey => {
  const objectName = firstValue(req.headers[names.objectKey]);
  return objectKey(objectName === undefined ? id : `${route}|${objectName}`);
};

/** All values of a header, in the order sent; Node itself keeps only the first of some. */
export const headerValues = ({ rawHeaders }: IncomingMessage, name: string): string[] =>
  rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1].toLowerCase() === name);

/** True when the request can have a body. */
export const hasBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] !== undefined ||
  (req.headers['content-length'] !== undefined && req.headers['content-length'] !== '0');
