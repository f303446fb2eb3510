/**
 * Calling JSON endpoints of the platform's services with a timeout. Every
 * outcome is typed: an answer with its status, or a transport failure that
 * says whether the request may have reached the server.
 */
import type { ResultAsync } from 'neverthrow';
import { ResultAsync as R } from 'neverthrow';

/** An answer: status and parsed JSON body (undefined for an empty body). */
export interface JsonReply {
  status: number;
  body: unknown;
}

/**
 * A call that got no answer. `sent` is true when the request may have been
 * delivered (timeout, connection reset after sending), so a write may have
 * taken effect; false when it surely was not (connection refused).
 */
export interface TransportError {
  sent: boolean;
  message: string;
}

const NOT_SENT = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

const codeOf = (error: unknown): string | undefined => {
  const { cause } = error as { cause?: { code?: string } };
  return cause?.code ?? (error as { code?: string }).code;
};

/** Calls `url` with an optional JSON body; never throws. */
export const callJson = (
  url: string,
  init: { method?: string; body?: unknown; timeoutMs: number },
): ResultAsync<JsonReply, TransportError> =>
  R.fromPromise(
    (async () => {
      const response = await fetch(url, {
        method: init.method ?? 'GET',
        headers: init.body === undefined ? {} : { 'content-type': 'application/json' },
        body: init.body === undefined ? undefined : JSON.stringify(init.body),
        signal: AbortSignal.timeout(init.timeoutMs),
      });
      const text = await response.text();
      return {
        status: response.status,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      };
    })(),
    (error): TransportError => ({
      sent: !NOT_SENT.has(codeOf(error) ?? ''),
      message: `${(error as Error).message}${codeOf(error) ? ` (${codeOf(error)})` : ''}`,
    }),
  );
