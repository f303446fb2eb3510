/**
 * What is decided before a request is sent: whether its body fits, and
 * whether a request with its idempotency key has been seen before.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Outcome } from '@cardamomladder/callers';
import { IDEMPOTENCY_KEY_HEADER, MAX_REQUEST_BYTES, OUTCOME_HEADER } from '@cardamomladder/callers';
import { readBody } from '@cardamomladder/http-json';
import type { RequestKey } from '@cardamomladder/types';
import { requestKey } from '@cardamomladder/types';
import type { Dedup, DedupVerdict, StoredAnswer } from '../state/dedup';
import { forwardHeaders } from './headers';
import { refuse } from './refusal';

/** A request that may be sent, or how it was answered instead. */
export type Admission =
  | { kind: 'admitted'; body: Buffer; key: RequestKey | undefined }
  | { kind: 'answered'; outcome: Outcome };

const KEY_RETRY_AFTER_MS = 1000;

const replay = (res: ServerResponse, answer: StoredAnswer): Outcome => {
  res.writeHead(answer.status, {
    ...forwardHeaders(answer.headers),
    'content-length': answer.body.length,
    [OUTCOME_HEADER]: 'ok',
  });
  res.end(answer.body);
  return 'ok';
};

const refuseDuplicate = (res: ServerResponse, message: string, retryAfterMs?: number): Outcome => {
  refuse(res, 409, 'unknown', 'duplicate-request', message, retryAfterMs);
  return 'unknown';
};

/** Answers a repeat of a request that was seen before; undefined for a new one. */
const answerRepeat = (res: ServerResponse, verdict: DedupVerdict): Outcome | undefined => {
  switch (verdict.kind) {
    case 'running':
      return refuseDuplicate(
        res,
        'a request with this idempotency-key is still running; wait for its answer',
        KEY_RETRY_AFTER_MS,
      );
    case 'unknown':
      return refuseDuplicate(
        res,
        'a request with this idempotency-key may have run; check with the service before sending it again',
      );
    case 'replay':
      return replay(res, verdict.answer);
    default:
      return undefined;
  }
};

/** The key under which a request must run once; undefined when it may be repeated or has none. */
const keyOf = (req: IncomingMessage, idempotent: boolean): RequestKey | undefined => {
  const raw = req.headers[IDEMPOTENCY_KEY_HEADER];
  return !idempotent && typeof raw === 'string' && raw !== '' ? requestKey(raw) : undefined;
};

/** Reads the request and claims its key, or answers it. */
export const admit = async (
  req: IncomingMessage,
  res: ServerResponse,
  idempotent: boolean,
  dedup: Dedup,
): Promise<Admission> => {
  const body = await readBody(req, MAX_REQUEST_BYTES);
  if (body === 'too-large') {
    const message = `request body is over ${MAX_REQUEST_BYTES} bytes; send a smaller body`;
    refuse(res, 413, 'not-run', 'request-too-large', message);
    return { kind: 'answered', outcome: 'not-run' };
  }
  const key = keyOf(req, idempotent);
  const outcome = key && answerRepeat(res, dedup.claim(key));
  return outcome ? { kind: 'answered', outcome } : { kind: 'admitted', body, key };
};
