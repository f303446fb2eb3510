/**
 * Logs one line per decision: what was decided, for which request, from which
 * inputs and how old they were. Failures are all logged up to a rate limit;
 * routine events are only sampled. The number of suppressed lines is reported
 * in the next line of the same kind.
 */
import type { LogFields, Logger } from '@cardamomladder/telemetry';
import { logRateLimiter } from '@cardamomladder/telemetry';

/** The kinds of decision that are logged. */
export type DecisionKind =
  | 'answered'
  | 'unframed'
  | 'send'
  | 'target-crashed'
  | 'target-leaving'
  | 'target-limit'
  | 'target-pace'
  | 'target-rest'
  | 'crash-report'
  | 'quarantine'
  | 'repeat-refused'
  | 'repeats'
  | 'retry-claim'
  | 'rejected'
  | 'failed'
  | 'timed-out'
  | 'caller-left'
  | 'cut'
  | 'malformed'
  | 'no-route'
  | 'unauthorized'
  | 'over-limit'
  | 'contention'
  | 'quota'
  | 'belief'
  | 'reach'
  | 'forward'
  | 'exchange'
  | 'store'
  | 'registration'
  | 'connection'
  | 'lifecycle';

/** Maximum lines per second for each kind: rejections come by the hundred when targets are full, and writing a line costs about 20 us. */
const LINES_PER_SECOND: Record<DecisionKind, number> = {
  answered: 1,
  unframed: 20,
  send: 10,
  'target-crashed': 20,
  'target-leaving': 10,
  'target-limit': 10,
  'target-pace': 20,
  'target-rest': 10,
  'crash-report': 10,
  quarantine: 10,
  'repeat-refused': 5,
  repeats: 20,
  'retry-claim': 5,
  rejected: 10,
  failed: 10,
  'timed-out': 10,
  'caller-left': 5,
  cut: 50,
  malformed: 5,
  'no-route': 5,
  unauthorized: 5,
  'over-limit': 10,
  contention: 5,
  quota: 5,
  belief: 50,
  reach: 10,
  forward: 10,
  exchange: 5,
  store: 10,
  registration: 10,
  connection: 20,
  lifecycle: 50,
};

/** Rate-limited log of decisions. */
export interface DecisionLog {
  /** Pass fields that are expensive to compute as a function; it is called only if the line is written. */
  write: (
    kind: DecisionKind,
    request: string | undefined,
    fields: LogFields | (() => LogFields),
  ) => void;
}

/** Creates a decision log that writes to `log`; `now` is a monotonic clock in ms. */
export const decisionLog = (log: Logger, now: () => number): DecisionLog => {
  const limit = logRateLimiter((kind) => LINES_PER_SECOND[kind as DecisionKind]);
  return {
    write: (kind, request, fields) => {
      const leftOut = limit.admit(kind, now());
      if (leftOut === undefined) return;
      const gathered = typeof fields === 'function' ? fields() : fields;
      log.info(kind, { request, ...gathered, ...(leftOut > 0 ? { leftOut } : {}) });
    },
  };
};
