/**
 * One line per decision: what was decided, for which request, from which
 * inputs and how old they were. Failures are written in full up to a rate;
 * the ordinary course of things is only sampled. What a limit leaves out is
 * counted in the next line of its kind.
 */
import type { LogFields, Logger } from '@cardamomladder/telemetry';
import { lineLimit } from '@cardamomladder/telemetry';

/** The kinds of decision that are logged. */
export type DecisionKind =
  | 'answered'
  | 'send'
  | 'target-crashed'
  | 'target-leaving'
  | 'target-limit'
  | 'target-rest'
  | 'crash-report'
  | 'quarantine'
  | 'repeat-refused'
  | 'rejected'
  | 'failed'
  | 'timed-out'
  | 'caller-left'
  | 'malformed'
  | 'no-route'
  | 'unauthorized'
  | 'over-limit'
  | 'quota'
  | 'belief'
  | 'store'
  | 'registration'
  | 'lifecycle';

/** Lines per second and kind: refusals come by the hundred when targets are full, and a line costs about 20 us. */
const LINES_PER_SECOND: Record<DecisionKind, number> = {
  answered: 1,
  send: 10,
  'target-crashed': 20,
  'target-leaving': 10,
  'target-limit': 10,
  'target-rest': 10,
  'crash-report': 10,
  quarantine: 10,
  'repeat-refused': 5,
  rejected: 10,
  failed: 10,
  'timed-out': 10,
  'caller-left': 5,
  malformed: 5,
  'no-route': 5,
  unauthorized: 5,
  'over-limit': 10,
  quota: 5,
  belief: 50,
  store: 10,
  registration: 10,
  lifecycle: 50,
};

/** Writes decisions. */
export interface DecisionLog {
  /** Fields that cost something to gather are given as a function, called only when the line is written. */
  write: (
    kind: DecisionKind,
    request: string | undefined,
    fields: LogFields | (() => LogFields),
  ) => void;
}

/** A decision log over `log`; `now` is the steady clock, ms. */
export const decisionLog = (log: Logger, now: () => number): DecisionLog => {
  const limit = lineLimit((kind) => LINES_PER_SECOND[kind as DecisionKind]);
  return {
    write: (kind, request, fields) => {
      const leftOut = limit.admit(kind, now());
      if (leftOut === undefined) return;
      const gathered = typeof fields === 'function' ? fields() : fields;
      log.info(kind, { request, ...gathered, ...(leftOut > 0 ? { leftOut } : {}) });
    },
  };
};
