/** Applies what targets report about themselves in their responses. */
import type { LimitObservation, TargetState } from '@cardamomladder/steering';
import type { ResponseSource } from '../targets/attempt';
import type { TargetStatement } from '../wireProtocol';
import type { ServeContext } from './requestExecution';

/** A target's statement, and the response that carried it. */
export interface ReceivedStatement {
  statement: TargetStatement;
  source: ResponseSource;
  /** When the corresponding request was sent; monotonic clock, ms. */
  sentAt: number;
}

type StatementContext = Pick<ServeContext, 'registry' | 'log' | 'now'>;

const applyLimit = (
  received: LimitObservation,
  { id, selfReport }: TargetState,
  { log, now }: StatementContext,
): void => {
  const { limit } = selfReport;
  const before = limit.perSecond;
  if (!limit.observe(received, now())) return;
  log.write('target-limit', undefined, {
    target: id,
    perSecond: limit.perSecond,
    before,
    sentLately: limit.sentLately(now()),
  });
};

const applyLeaving = (target: TargetState, { registry, log }: StatementContext): void => {
  if (!registry.markLeaving(target)) return;
  log.write('target-leaving', undefined, { target: target.id, believedLeaving: target.leaving });
};

/** Longest pause, ms: a target that requests a longer one is tried again after this time. */
const MAX_PAUSE_MS = 3_600_000;

const applyPause = (restMs: number, target: TargetState, { log, now }: StatementContext): void => {
  const { id, selfReport } = target;
  const until = now() + Math.min(restMs, MAX_PAUSE_MS);
  // A later request for a shorter pause does not shorten the current one.
  selfReport.pausedUntil = Math.max(selfReport.pausedUntil, until);
  const sentLately = selfReport.limit.sentLately(now());
  log.write('target-rest', undefined, { target: id, restMs, sentLately });
};

/** Applies a target's statement and logs the changes. */
export const applyStatement = (
  { statement, source, sentAt }: ReceivedStatement,
  target: TargetState,
  ctx: StatementContext,
): void => {
  const { registry, now } = ctx;
  const { leaving, restMs, limitPerSecond: perSecond } = statement;
  if (source !== 'garbled')
    registry
      .forService(target.service)
      .pace.report(target.id, statement.load?.pace, 'response', now());
  applyLimit({ perSecond, ran: source === 'run', sentAt }, target, ctx);
  if (leaving) applyLeaving(target, ctx);
  if (restMs !== undefined) applyPause(restMs, target, ctx);
};
