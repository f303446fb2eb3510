/** The quotas of one instance: admission by what it may take, lending to its peers, and asking them. */
import type { Allowance, Customer, QuotaTolerance } from '@cardamomladder/customers';
import {
  Allowances,
  Lender,
  WAIT_MOST_MS,
  keeperOf,
  keepersAmong,
} from '@cardamomladder/customers';
import type { Beliefs, InstanceEntry } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { NamedInstances } from '../lifecycle/namedInstances';
import { namedIn } from '../lifecycle/namedInstances';
import type { TokenAnswer, TokenQuestion } from './tokenFormat';
import { startTokenRounds } from './tokenRounds';

/** What quotas need of the instance. */
export interface QuotaOptions {
  self: InstanceId;
  beliefs: Beliefs;
  /** The instances that callers are sent to. */
  named: Pick<NamedInstances, 'holders'>;
  tolerance: QuotaTolerance;
  /** How long ago the store was last heard, itself or through a relay, ms. */
  storeHeardMsAgo: () => number;
  log: DecisionLog;
  /** Steady clock, ms. */
  now: () => number;
}

/** Whether a request is within its customer's limit; else when its caller may come back. */
export type Admission = { kind: 'admitted' } | { kind: 'over-limit'; retryAfterMs: number };

/** The steady clock counts from here, ms. */
const PROCESS_START = 0;
const ADMITTED: Admission = { kind: 'admitted' };

/** The quotas of one instance. */
export interface Quotas {
  /** Takes a token for one request of a customer, which may have to wait for it. */
  admit: (customer: Customer) => Admission | Promise<Admission>;
  /** Puts the token of a request back that did not run. */
  putBack: (customer: Customer) => void;
  /** What is known of a customer's limit here, for the log. */
  describe: (customer: Customer) => Record<string, number>;
  /** Lends to a peer. */
  lend: (question: TokenQuestion) => TokenAnswer;
  stop: () => void;
}

/** The instances that lend, among those that callers are sent to. */
const keepersOf = ({ beliefs }: QuotaOptions): InstanceEntry[] =>
  keepersAmong(namedIn([...beliefs.instances.values()]));

const sameInstances = (some: readonly InstanceEntry[], others: readonly InstanceEntry[]) =>
  some.length === others.length && some.every(({ id }, i) => id === others[i].id);

/** Whether a request may go; a promise while it waits for a token. */
const decisionOf = (allowance: Allowance, now: () => number): Admission | Promise<Admission> => {
  let decided: Admission | undefined;
  let resolve: ((admission: Admission) => void) | undefined;
  allowance.request((isAdmitted) => {
    decided = isAdmitted
      ? ADMITTED
      : { kind: 'over-limit', retryAfterMs: allowance.comeBackInMs(now()) };
    resolve?.(decided);
  }, now());
  if (decided) return decided;
  setTimeout(() => allowance.expire(now()), WAIT_MOST_MS);
  return new Promise((settle) => {
    resolve = settle;
  });
};

/** Starts an instance's quotas. */
export const startQuotas = (options: QuotaOptions): Quotas => {
  const { self, beliefs, named, tolerance, storeHeardMsAgo, log, now } = options;
  let keepers = keepersOf(options);
  const allowances = new Allowances({
    self,
    tolerance,
    holders: () => named.holders(),
    startedAt: PROCESS_START,
    now,
  });
  const lender = new Lender({
    self,
    tolerance,
    isKeeper: (customer) => keeperOf(customer, keepers)?.id === self,
    holders: () => named.holders(),
    startedAt: PROCESS_START,
    now,
  });
  const lend = ({ asker, needs }: TokenQuestion): TokenAnswer => {
    lender.hear(asker);
    return {
      lent: needs.flatMap(([customer, need]): TokenAnswer['lent'] => {
        const lent = lender.lend(customer, asker, need);
        return lent === undefined ? [] : [[customer, lent]];
      }),
    };
  };
  let hasLimits = false;
  const configure = (customers: readonly Customer[]): void => {
    hasLimits = customers.some(({ limit }) => limit !== undefined);
    allowances.configure(customers);
    lender.configure(customers);
  };
  configure(beliefs.configuration?.customers ?? []);
  const takeInstances = (): void => {
    const changed = keepersOf(options);
    if (sameInstances(keepers, changed)) return;
    keepers = changed;
    lender.review();
  };
  const following = beliefs.changes.subscribe((change) => {
    if (change.kind === 'configuration') configure(change.configuration.customers ?? []);
    if (change.kind === 'instance' || change.kind === 'instance-gone') takeInstances();
  });
  const rounds = startTokenRounds({
    self,
    keepers: () => (hasLimits && named.holders().ids.includes(self) ? keepers : []),
    allowances,
    keeperOf: (customer) => keeperOf(customer, keepers),
    lend,
    log,
    now,
  });
  return {
    admit: ({ name }) => {
      const allowance = allowances.of(name);
      if (!allowance) return ADMITTED;
      const decision = decisionOf(allowance, now);
      if (allowance.isShort(now())) rounds.hurry(name);
      return decision;
    },
    putBack: ({ name }) => allowances.of(name)?.putBack(now()),
    describe: ({ name, limit }) => ({
      limitPerSecond: limit?.perSecond ?? 0,
      burst: limit?.burst ?? 0,
      ...allowances.of(name)?.describe(now()),
      storeHeardMsAgo: Math.round(storeHeardMsAgo()),
    }),
    lend,
    stop: () => {
      following.unsubscribe();
      rounds.stop();
    },
  };
};
