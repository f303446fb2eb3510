/** Takes what targets say of themselves in their answers. */
import type { HeardLimit, PlacedTarget } from '@cardamomladder/steering';
import type { AnswerSource } from '../targets/attempt';
import type { TargetStatement } from '../wireNames';
import type { ServeContext } from './serving';

/** A statement and the answer that it came with. */
export interface HeardStatement {
  statement: TargetStatement;
  source: AnswerSource;
  /** When the request was sent that this answers; steady clock, ms. */
  sentAt: number;
}

type HearContext = Pick<ServeContext, 'registry' | 'log' | 'now'>;

const hearLimit = (
  heard: HeardLimit,
  { id, selfReport }: PlacedTarget,
  { log, now }: HearContext,
): void => {
  const { limit } = selfReport;
  const before = limit.perSecond;
  if (!limit.hear(heard, now())) return;
  log.write('target-limit', undefined, {
    target: id,
    perSecond: limit.perSecond,
    before,
    sentLately: limit.sentLately(now()),
  });
};

const hearLeaving = (target: PlacedTarget, { registry, log }: HearContext): void => {
  if (!registry.takeLeaving(target)) return;
  log.write('target-leaving', undefined, { target: target.id, believedLeaving: target.leaving });
};

/** No pause lasts longer, ms: a target that asks for more is asked again. */
const REST_MOST_MS = 3_600_000;

const hearRest = (restMs: number, target: PlacedTarget, { log, now }: HearContext): void => {
  const { id, selfReport } = target;
  const until = now() + Math.min(restMs, REST_MOST_MS);
  // A shorter pause that is asked for later does not end one that lasts.
  selfReport.restUntil = Math.max(selfReport.restUntil, until);
  const sentLately = selfReport.limit.sentLately(now());
  log.write('target-rest', undefined, { target: id, restMs, sentLately });
};

/** Takes a statement of a target; what it changes is logged. */
export const hearStatement = (
  { statement, source, sentAt }: HeardStatement,
  target: PlacedTarget,
  ctx: HearContext,
): void => {
  const { leaving, restMs, limitPerSecond: perSecond } = statement;
  hearLimit({ perSecond, ran: source === 'run', sentAt }, target, ctx);
  if (leaving) hearLeaving(target, ctx);
  if (restMs !== undefined) hearRest(restMs, target, ctx);
};
