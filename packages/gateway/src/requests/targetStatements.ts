/** Takes what targets say of themselves in their answers. */
import type { HeardLimit, PlacedTarget } from '@cardamomladder/steering';
import type { ResponseSource } from '../targets/attempt';
import type { TargetStatement } from '../wireNames';
import type { ServeContext } from './serving';

/** A statement and the answer that it came with. */
export interface ReceivedStatement {
  statement: TargetStatement;
  source: ResponseSource;
  /** When the request was sent that this answers; steady clock, ms. */
  sentAt: number;
}

type StatementContext = Pick<ServeContext, 'registry' | 'log' | 'now'>;

const applyLimit = (
  received: HeardLimit,
  { id, selfReport }: PlacedTarget,
  { log, now }: StatementContext,
): void => {
  const { limit } = selfReport;
  const before = limit.perSecond;
  if (!limit.hear(received, now())) return;
  log.write('target-limit', undefined, {
    target: id,
    perSecond: limit.perSecond,
    before,
    sentLately: limit.sentLately(now()),
  });
};

const applyLeaving = (target: PlacedTarget, { registry, log }: StatementContext): void => {
  if (!registry.markLeaving(target)) return;
  log.write('target-leaving', undefined, { target: target.id, believedLeaving: target.leaving });
};

/** No pause lasts longer, ms: a target that asks for more is asked again. */
const MAX_PAUSE_MS = 3_600_000;

const applyPause = (restMs: number, target: PlacedTarget, { log, now }: StatementContext): void => {
  const { id, selfReport } = target;
  const until = now() + Math.min(restMs, MAX_PAUSE_MS);
  // A shorter pause that is asked for later does not end one that lasts.
  selfReport.restUntil = Math.max(selfReport.restUntil, until);
  const sentLately = selfReport.limit.sentLately(now());
  log.write('target-rest', undefined, { target: id, restMs, sentLately });
};

/** Takes a statement of a target; what it changes is logged. */
export const applyStatement = (
  { statement, source, sentAt }: ReceivedStatement,
  target: PlacedTarget,
  ctx: StatementContext,
): void => {
  const { leaving, restMs, limitPerSecond: perSecond } = statement;
  applyLimit({ perSecond, ran: source === 'run', sentAt }, target, ctx);
  if (leaving) applyLeaving(target, ctx);
  if (restMs !== undefined) applyPause(restMs, target, ctx);
};
