/**
 * HTTP client for the platform services' JSON endpoints, with a timeout. A call
 * results in a response with its status, or in a transport error that says
 * whether the request may have reached the server.
 */
import type { ResultAsync } from 'neverthrow';
import { ResultAsync as R } from 'neverthrow';

/** A response: status and parsed JSON body (undefined for an empty body). */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/**
 * A call that received no usable response. `possiblySent` is true when the request
 * may have been delivered (timeout, connection reset after sending), so a write
 * may have taken effect; false when it certainly was not (connection refused).
 */
export interface TransportError {
  possiblySent: boolean;
  message: string;
}

/** Error codes after which the request was certainly not delivered. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

const errorCode = (error: unknown): string | undefined => {
  const { cause } = error as { cause?: { code?: string } };
  return cause?.code ?? (error as { code?: string }).code;
};

/** Calls `url` with an optional JSON body; failures are returned, never thrown. */
export const callJson = (
  url: string,
  options: { method?: string; body?: unknown; timeoutMs: number },
): ResultAsync<JsonResponse, TransportError> =>
  R.fromPromise(
    (async () => {
      const response = await fetch(url, {
        method: options.method ?? 'GET',
        headers: options.body === undefined ? {} : { 'content-type': 'application/json' },
        body: options.body === undefined ? undefined : JSON.stringify(options.body),
        signal: AbortSignal.timeout(options.timeoutMs),
      });
      const text = await response.text();
      return {
        status: response.status,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      };
    })(),
    (error): TransportError => ({
      possiblySent: !NOT_SENT_CODES.has(errorCode(error) ?? ''),
      message: `${(error as Error).message}${errorCode(error) ? ` (${errorCode(error)})` : ''}`,
    }),
  );
