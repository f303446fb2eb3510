/**
 * Requests tokens from the lenders several times a second, independently of
 * callers' requests: one token request per lender, for all of its customers.
 */
import type { LocalQuotas, TokenNeed } from '@cardamomladder/customers';
import { CONTACT_INTERVAL_MS, MIN_ASK_INTERVAL_MS } from '@cardamomladder/customers';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { withinMs } from '@cardamomladder/http-json';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from '../peers/client';
import type { TokenResponse, TokenRequest } from './tokenSchemas';
import { MAX_CUSTOMERS_PER_REQUEST, tokenResponse } from './tokenSchemas';

/** Interval between rounds, ms; lent tokens last for two and a half rounds. */
const ROUND_INTERVAL_MS = 280;
/** Timeout of a lender's response, ms: more than a round trip between any two regions. */
const RESPONSE_TIMEOUT_MS = 250;

/** Dependencies of the token rounds. */
export interface TokenRoundOptions {
  self: InstanceId;
  localQuotas: LocalQuotas;
  /** The lenders with which this instance must stay in contact. */
  lenders: () => readonly InstanceEntry[];
  /** The lender of a customer's tokens. */
  lenderOf: (customer: CustomerName) => InstanceEntry | undefined;
  /** Sends a token request to this instance's own lender. */
  lend: (request: TokenRequest) => TokenResponse;
  log: DecisionLog;
  /** Monotonic clock, ms. */
  now: () => number;
}

interface LenderRequest {
  lender: InstanceEntry;
  needs: TokenRequest['needs'];
}

const groupByLender = (
  needs: ReadonlyMap<CustomerName, TokenNeed>,
  lenderOf: TokenRoundOptions['lenderOf'],
): LenderRequest[] => {
  const lenderRequests = new Map<InstanceId, LenderRequest>();
  needs.forEach((need, customer) => {
    const lender = lenderOf(customer);
    if (!lender) return;
    const all = lenderRequests.get(lender.id)?.needs ?? [];
    if (all.length < MAX_CUSTOMERS_PER_REQUEST) all.push([customer, need]);
    lenderRequests.set(lender.id, { lender, needs: all });
  });
  return [...lenderRequests.values()];
};

/** Periodic rounds of token requests. */
export interface TokenRounds {
  /** Requests tokens for one customer immediately. */
  askNow: (customer: CustomerName) => void;
  stop: () => void;
}

export const startTokenRounds = (options: TokenRoundOptions): TokenRounds => {
  const { self, localQuotas, lenders, lenderOf, lend, log, now } = options;
  const lastContactAt = new Map<InstanceId, number>();
  const askPeer = async (
    { peerAddress }: InstanceEntry,
    request: TokenRequest,
  ): Promise<TokenResponse> => {
    const client = peerClient(peerAddress, withinMs(RESPONSE_TIMEOUT_MS));
    const response = await client.tokens.mutate(request);
    return tokenResponse.parse(response);
  };
  const receive = ([customer, tokens]: TokenResponse['lent'][number]): void => {
    const quota = localQuotas.of(customer);
    quota?.receive(tokens, now());
    // The remaining requests arrived after the token request was sent.
    if (quota && quota.waitingCount > 0) setTimeout(() => askNow(customer), MIN_ASK_INTERVAL_MS);
  };
  const ask = async ({ lender, needs }: LenderRequest): Promise<void> => {
    lastContactAt.set(lender.id, now());
    const request = { asker: self, needs };
    const { lent } = lender.id === self ? lend(request) : await askPeer(lender, request);
    lent.forEach(receive);
  };
  const askAll = (lenderRequests: readonly LenderRequest[]): void =>
    lenderRequests.forEach((lenderRequest) => {
      ask(lenderRequest).catch((error: Error) => {
        lenderRequest.needs.forEach(([customer]) => localQuotas.of(customer)?.unanswered(now()));
        log.write('quota', undefined, {
          event: 'lender did not answer',
          peer: lenderRequest.lender.id,
          reason: error.message,
        });
      });
    });
  function askNow(customer: CustomerName): void {
    const quota = localQuotas.of(customer);
    if (quota && !lenderOf(customer)) quota.unanswered(now());
    const need = quota?.need(now());
    if (need) askAll(groupByLender(new Map([[customer, need]]), lenderOf));
  }
  const isDue = ({ id }: InstanceEntry): boolean =>
    id !== self && now() - (lastContactAt.get(id) ?? -Infinity) >= CONTACT_INTERVAL_MS;
  const round = (): void => {
    askAll(groupByLender(localQuotas.needs(), lenderOf));
    askAll(
      lenders()
        .filter(isDue)
        .map((lender) => ({ lender, needs: [] })),
    );
  };
  const timer = setInterval(round, ROUND_INTERVAL_MS);
  return {
    askNow,
    stop: () => clearInterval(timer),
  };
};
