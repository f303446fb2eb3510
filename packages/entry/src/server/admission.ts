/**
 * Checks made before a request is forwarded: the size of its body, and whether
 * its idempotency key has been used before.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Outcome } from '@cardamomladder/callers';
import { IDEMPOTENCY_KEY_HEADER, MAX_REQUEST_BYTES, OUTCOME_HEADER } from '@cardamomladder/callers';
import { readBody } from '@cardamomladder/http-json';
import type { RequestKey } from '@cardamomladder/types';
import { requestKey } from '@cardamomladder/types';
import type { DedupCache, DedupDecision, StoredResponse } from '../state/dedup';
import { endToEndHeaders } from './headers';
import { sendError } from './errorResponse';

/** A request that may be forwarded, or the outcome of the response already sent. */
export type Admission =
  | { kind: 'admitted'; body: Buffer; key: RequestKey | undefined }
  | { kind: 'answered'; outcome: Outcome };

const DUPLICATE_RETRY_AFTER_MS = 1000;

const replayResponse = (res: ServerResponse, answer: StoredResponse): Outcome => {
  res.writeHead(answer.status, {
    ...endToEndHeaders(answer.headers),
    'content-length': answer.body.length,
    [OUTCOME_HEADER]: 'ok',
  });
  res.end(answer.body);
  return 'ok';
};

const rejectDuplicate = (res: ServerResponse, message: string, retryAfterMs?: number): Outcome => {
  sendError(res, 409, 'unknown', 'duplicate-request', message, retryAfterMs);
  return 'unknown';
};

/** Responds to a duplicate request; returns undefined, without a response, for a new one. */
const answerDuplicate = (res: ServerResponse, decision: DedupDecision): Outcome | undefined => {
  switch (decision.kind) {
    case 'running':
      return rejectDuplicate(
        res,
        'a request with this idempotency-key is still running; wait for its answer',
        DUPLICATE_RETRY_AFTER_MS,
      );
    case 'unknown':
      return rejectDuplicate(
        res,
        'a request with this idempotency-key may have run; check with the service before sending it again',
      );
    case 'replay':
      return replayResponse(res, decision.answer);
    default:
      return undefined;
  }
};

/** The deduplication key; undefined if the service is idempotent or the caller sent none. */
const dedupKeyOf = (req: IncomingMessage, idempotent: boolean): RequestKey | undefined => {
  const headerValue = req.headers[IDEMPOTENCY_KEY_HEADER];
  return !idempotent && typeof headerValue === 'string' && headerValue !== ''
    ? requestKey(headerValue)
    : undefined;
};

/** Reads the request body and claims the idempotency key; responds itself if either fails. */
export const admit = async (
  req: IncomingMessage,
  res: ServerResponse,
  idempotent: boolean,
  dedup: DedupCache,
): Promise<Admission> => {
  const body = await readBody(req, MAX_REQUEST_BYTES);
  if (body === 'too-large') {
    const message = `request body is over ${MAX_REQUEST_BYTES} bytes; send a smaller body`;
    sendError(res, 413, 'not-run', 'request-too-large', message);
    return { kind: 'answered', outcome: 'not-run' };
  }
  const key = dedupKeyOf(req, idempotent);
  const outcome = key && answerDuplicate(res, dedup.claim(key));
  return outcome ? { kind: 'answered', outcome } : { kind: 'admitted', body, key };
};
