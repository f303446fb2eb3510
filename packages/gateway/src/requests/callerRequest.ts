/** A caller's request as the gateway handles it: route, identity and deadline. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryBudget } from '@cardamomladder/http-json';
import { readBodyInTime } from '@cardamomladder/http-json';
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
import type { HeaderNames } from '../wireProtocol';

/** A caller's request with its complete body. Times on the monotonic clock, ms. */
export interface CallerRequest {
  id: RequestId;
  /** The address that the caller connected from. */
  caller: string;
  /** The caller's credentials; empty if it sent none. */
  credentials: string;
  /** The requested host. */
  host: string;
  method: string;
  /** Path and query, as the caller sent them. */
  path: string;
  route: Route;
  service: ServiceName;
  /** The authenticated customer; unset on public routes, and if API keys aren't configured. */
  customer: Customer | undefined;
  /** Regions in which the request may run; empty for any region. */
  homeRegions: readonly RegionName[];
  /** Priority of the customer, or else of the route; 0 is the highest. */
  priority: number;
  key: ObjectKey;
  body: Buffer | undefined;
  arrivedAt: number;
  /** Deadline for the response. */
  deadlineAt: number;
  /** When the caller stops waiting, however long the route allows. */
  callerLeavesAt: number;
  /** True if a peer forwarded it, because that one is cut off from all targets. */
  isForwarded?: boolean;
  /** Lower bound of the time that the caller has already waited in earlier attempts, ms. */
  waitedBeforeMs: number;
}

/** Timeout of callers that send none, ms. */
const DEFAULT_TIMEOUT_MS = 30_000;

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** The timeout that the caller sent, ms; undefined if missing or invalid. */
export const requestedTimeoutMs = (
  req: IncomingMessage,
  names: HeaderNames,
): number | undefined => {
  const value = Number(firstValue(req.headers[names.waitMs]));
  return Number.isFinite(value) && value > 0 ? value : undefined;
};

/** When a caller that waits `waitMs` stops waiting. */
export const callerLeavesAt = (waitMs: number | undefined, arrivedAt: number): number =>
  arrivedAt + (waitMs ?? DEFAULT_TIMEOUT_MS);

/** Deadline of a request on `route` whose caller waits `waitMs`. */
export const deadlineOf = (route: Route, waitMs: number | undefined, arrivedAt: number): number =>
  Math.min(callerLeavesAt(waitMs, arrivedAt), arrivedAt + (route.timeoutMs ?? Infinity));

/** The caller's id of this attempt; undefined if missing. */
export const requestIdOf = (req: IncomingMessage, names: HeaderNames): RequestId | undefined => {
  const value = firstValue(req.headers[names.requestId]);
  return value === undefined || value === '' ? undefined : requestId(value);
};

/**
 * The key by which a request is placed: its object within the route, or the
 * request's id if it names no object. Targets cache an object separately for
 * each route.
 */
export const placementKey = (
  req: IncomingMessage,
  names: HeaderNames,
  route: RouteName,
  id: RequestId,
): ObjectKey => {
  const objectName = firstValue(req.headers[names.objectKey]);
  return objectKey(objectName === undefined ? id : `${route}|${objectName}`);
};

/** All values of a header in the order sent; for some headers Node keeps only the first. */
export const headerValues = ({ rawHeaders }: IncomingMessage, name: string): string[] =>
  rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1].toLowerCase() === name);

/** True once the caller's end of the connection is known to be closed, so that no response reaches it. */
export const hasCallerLeft = ({ socket }: IncomingMessage): boolean =>
  socket.destroyed || socket.readableEnded;

export const hasBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] !== undefined ||
  (req.headers['content-length'] !== undefined && req.headers['content-length'] !== '0');

/** A complete body (undefined if the request has none), or why it was given up. */
type ReceivedBody = Buffer | undefined | 'too-large' | 'too-late' | 'no-room';

/** Limits of the body of a request, and the memory that all bodies share. */
export interface BodyLimits {
  maxBytes: number;
  maxMs: number;
  memory: MemoryBudget;
}

/** Reads the body of a request, if it has one; it counts as held until the response is closed. */
export const receiveBody = async (
  req: IncomingMessage,
  res: ServerResponse,
  { maxBytes, maxMs, memory }: BodyLimits,
): Promise<ReceivedBody> => {
  if (!hasBody(req)) return undefined;
  const holder = memory.open();
  res.once('close', holder.close);
  const body = await readBodyInTime(req, maxBytes, maxMs, holder);
  if (Buffer.isBuffer(body)) return body;
  const hadRoom = !holder.isWaiting();
  holder.close();
  return hadRoom ? body : 'no-room';
};
