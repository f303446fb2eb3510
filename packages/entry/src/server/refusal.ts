/** Answers that the entry makes itself. */
import type { ServerResponse } from 'node:http';
import { OUTCOME_HEADER } from '@cardamomladder/callers';
import type { Outcome } from '@cardamomladder/callers';
import type { NotRunReason } from '@cardamomladder/targets';

/** Sends an answer the entry makes itself: a refusal with its outcome and remedy. */
export const refuse = (
  res: ServerResponse,
  status: number,
  outcome: Outcome,
  error: string,
  message: string,
  retryAfterMs?: number,
): void => {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const body = JSON.stringify({ error, message });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    ...(retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(0, Math.ceil(retryAfterMs / 1000))) }),
  });
  res.end(body);
};

/** Why a request did not run, for its caller. */
export const notRunMessage: Record<NotRunReason, string> = {
  draining: 'the target is leaving',
  shed: 'the target was full',
  deadline: 'too little time was left',
  'connect-failed': 'no target could be reached',
  'no-target': 'no target is live for this service',
  'region-full': 'the region has no spare slots',
  store: 'the platform is unreachable',
};
