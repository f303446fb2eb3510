/** Takes what targets say of themselves in their answers. */
import type { PlacedTarget } from '@cardamomladder/steering';
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

/** Takes a statement of a target; what it changes is logged. */
export const hearStatement = (
  { statement, source, sentAt }: HeardStatement,
  { id, limit }: PlacedTarget,
  { log, now }: Pick<ServeContext, 'log' | 'now'>,
): void => {
  const perSecond = statement.limitPerSecond;
  const before = limit.perSecond;
  if (!limit.hear({ perSecond, ran: source === 'run', sentAt }, now())) return;
  log.write('target-limit', undefined, {
    target: id,
    perSecond: limit.perSecond,
    before,
    sentLately: limit.sentLately(now()),
  });
};
