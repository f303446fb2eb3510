/**
 * Asks the lenders for tokens, some times a second, beside the requests: one
 * question to each, for all customers that it keeps.
 */
import type { Allowances, TokenNeed } from '@cardamomladder/customers';
import { ASK_APART_MS, IN_TOUCH_EVERY_MS } from '@cardamomladder/customers';
import type { InstanceEntry } from '@cardamomladder/fleet';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from '../peers/client';
import type { TokenAnswer, TokenQuestion } from './tokenFormat';
import { CUSTOMERS_AT_A_TIME, tokenAnswer } from './tokenFormat';

/** Time between rounds, ms: what is lent lasts for two and a half of them. */
const ROUND_MS = 280;
/** How long a lender may take, ms: over two ways between any regions. */
const ANSWER_WITHIN_MS = 250;

/** What asking needs of the instance. */
export interface RoundOptions {
  self: InstanceId;
  allowances: Allowances;
  /** The lenders that are to know that this instance is in touch with them. */
  keepers: () => readonly InstanceEntry[];
  /** Who keeps a customer's pool. */
  keeperOf: (customer: CustomerName) => InstanceEntry | undefined;
  /** Asks this instance's own lender. */
  lend: (question: TokenQuestion) => TokenAnswer;
  log: DecisionLog;
  /** Steady clock, ms. */
  now: () => number;
}

interface Asked {
  keeper: InstanceEntry;
  needs: TokenQuestion['needs'];
}

const byKeeper = (
  needs: ReadonlyMap<CustomerName, TokenNeed>,
  keeperOf: RoundOptions['keeperOf'],
): Asked[] => {
  const asked = new Map<InstanceId, Asked>();
  needs.forEach((need, customer) => {
    const keeper = keeperOf(customer);
    if (!keeper) return;
    const all = asked.get(keeper.id)?.needs ?? [];
    if (all.length < CUSTOMERS_AT_A_TIME) all.push([customer, need]);
    asked.set(keeper.id, { keeper, needs: all });
  });
  return [...asked.values()];
};

/** Running rounds. */
export interface TokenRounds {
  /** Asks for one customer at once. */
  hurry: (customer: CustomerName) => void;
  stop: () => void;
}

/** Starts the rounds. */
export const startTokenRounds = (options: RoundOptions): TokenRounds => {
  const { self, allowances, keepers, keeperOf, lend, log, now } = options;
  const spokenAt = new Map<InstanceId, number>();
  const askPeer = async (
    { peerAddress }: InstanceEntry,
    question: TokenQuestion,
  ): Promise<TokenAnswer> => {
    const answer = await peerClient(peerAddress, ANSWER_WITHIN_MS).tokens.mutate(question);
    return tokenAnswer.parse(answer);
  };
  const receive = ([customer, tokens]: TokenAnswer['lent'][number]): void => {
    const allowance = allowances.of(customer);
    allowance?.receive(tokens, now());
    // These came after the question was asked.
    if (allowance && allowance.waits > 0) setTimeout(() => hurry(customer), ASK_APART_MS);
  };
  const ask = async ({ keeper, needs }: Asked): Promise<void> => {
    spokenAt.set(keeper.id, now());
    const question = { asker: self, needs };
    const { lent } = keeper.id === self ? lend(question) : await askPeer(keeper, question);
    lent.forEach(receive);
  };
  const askAll = (questions: readonly Asked[]): void =>
    questions.forEach((asked) => {
      ask(asked).catch((error: Error) => {
        asked.needs.forEach(([customer]) => allowances.of(customer)?.unanswered(now()));
        log.write('quota', undefined, {
          event: 'lender did not answer',
          peer: asked.keeper.id,
          reason: error.message,
        });
      });
    });
  function hurry(customer: CustomerName): void {
    const allowance = allowances.of(customer);
    if (allowance && !keeperOf(customer)) allowance.unanswered(now());
    const need = allowance?.need(now());
    if (need) askAll(byKeeper(new Map([[customer, need]]), keeperOf));
  }
  const isDue = ({ id }: InstanceEntry): boolean =>
    id !== self && now() - (spokenAt.get(id) ?? -Infinity) >= IN_TOUCH_EVERY_MS;
  const round = (): void => {
    askAll(byKeeper(allowances.needs(), keeperOf));
    askAll(
      keepers()
        .filter(isDue)
        .map((keeper) => ({ keeper, needs: [] })),
    );
  };
  const timer = setInterval(round, ROUND_MS);
  return {
    hurry,
    stop: () => clearInterval(timer),
  };
};
