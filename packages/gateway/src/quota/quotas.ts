/** Customer quotas of one instance: admission, lending tokens to peers, and requesting tokens from them. */
import type { Customer, LocalQuota, QuotaTolerance } from '@cardamomladder/customers';
import {
  LocalQuotas,
  Lender,
  MAX_WAIT_MS,
  lenderOf,
  selectLenders,
} from '@cardamomladder/customers';
import type { ClusterState, InstanceEntry } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { AdvertisedInstances } from '../lifecycle/advertisedInstances';
import type { InstanceSource } from '../lifecycle/liveInstances';
import { selectAdvertised } from '../lifecycle/advertisedInstances';
import type { TokenResponse, TokenRequest } from './tokenSchemas';
import { startTokenRounds } from './tokenRounds';

/** Dependencies of an instance's quotas. */
export interface QuotaOptions {
  self: InstanceId;
  clusterState: Pick<ClusterState, 'configuration' | 'changes'>;
  /** The instances that serve callers. */
  live: InstanceSource;
  /** The instances that callers are sent to. */
  advertised: Pick<AdvertisedInstances, 'sharers'>;
  tolerance: QuotaTolerance;
  /** Time since the store was last heard, directly or through a relay, ms. */
  storeHeardMsAgo: () => number;
  log: DecisionLog;
  /** Monotonic clock, ms. */
  now: () => number;
}

/** Whether a request is within its customer's limit; if not, when the caller may retry. */
export type Admission = { kind: 'admitted' } | { kind: 'over-limit'; retryAfterMs: number };

/** Process start, which is the origin of the monotonic clock, ms. */
const PROCESS_START = 0;
const ADMITTED: Admission = { kind: 'admitted' };

/** The quotas of one instance. */
export interface Quotas {
  /** Takes a token for one request of a customer; the request may have to wait for it. */
  admit: (customer: Customer) => Admission | Promise<Admission>;
  /** Returns the token of a request that was not executed. */
  refund: (customer: Customer) => void;
  /** State of a customer's limit at this instance, for the log. */
  describe: (customer: Customer) => Record<string, number>;
  /** Handles a peer's token request. */
  lend: (request: TokenRequest) => TokenResponse;
  stop: () => void;
}

/** The lenders among the instances that callers are sent to. */
const currentLenders = ({ live }: QuotaOptions): InstanceEntry[] =>
  selectLenders(selectAdvertised([...live.instances.values()]));

const sameInstances = (some: readonly InstanceEntry[], others: readonly InstanceEntry[]) =>
  some.length === others.length && some.every(({ id }, i) => id === others[i].id);

/** Decides on a request; returns a promise if the request has to wait for a token. */
const requestToken = (quota: LocalQuota, now: () => number): Admission | Promise<Admission> => {
  let decided: Admission | undefined;
  let resolve: ((admission: Admission) => void) | undefined;
  quota.request((isAdmitted) => {
    decided = isAdmitted
      ? ADMITTED
      : { kind: 'over-limit', retryAfterMs: quota.nextRetryAfterMs(now()) };
    resolve?.(decided);
  }, now());
  if (decided) return decided;
  setTimeout(() => quota.rejectExpired(now()), MAX_WAIT_MS);
  return new Promise((settle) => {
    resolve = settle;
  });
};

/** Starts an instance's quotas. */
export const startQuotas = (options: QuotaOptions): Quotas => {
  const { self, clusterState, live, advertised, tolerance, storeHeardMsAgo, log, now } = options;
  let lenders = currentLenders(options);
  const localQuotas = new LocalQuotas({
    self,
    tolerance,
    sharers: () => advertised.sharers(),
    startedAt: PROCESS_START,
    now,
  });
  const lender = new Lender({
    self,
    tolerance,
    isLender: (customer) => lenderOf(customer, lenders)?.id === self,
    sharers: () => advertised.sharers(),
    startedAt: PROCESS_START,
    now,
  });
  const lend = ({ asker, needs }: TokenRequest): TokenResponse => {
    lender.recordContact(asker);
    return {
      lent: needs.flatMap(([customer, need]): TokenResponse['lent'] => {
        const lent = lender.lend(customer, asker, need);
        return lent === undefined ? [] : [[customer, lent]];
      }),
    };
  };
  let hasLimits = false;
  const configure = (customers: readonly Customer[]): void => {
    hasLimits = customers.some(({ limit }) => limit !== undefined);
    localQuotas.configure(customers);
    lender.configure(customers);
  };
  configure(clusterState.configuration?.customers ?? []);
  const updateLenders = (): void => {
    const changed = currentLenders(options);
    if (sameInstances(lenders, changed)) return;
    lenders = changed;
    lender.updatePools();
  };
  const subscription = clusterState.changes.subscribe((change) => {
    if (change.kind === 'configuration') configure(change.configuration.customers ?? []);
  });
  subscription.add(
    live.changes.subscribe(({ kind }) => {
      if (kind === 'instance' || kind === 'instance-gone') updateLenders();
    }),
  );
  const rounds = startTokenRounds({
    self,
    lenders: () => (hasLimits && advertised.sharers().ids.includes(self) ? lenders : []),
    localQuotas,
    lenderOf: (customer) => lenderOf(customer, lenders),
    lend,
    log,
    now,
  });
  return {
    admit: ({ name }) => {
      const quota = localQuotas.of(name);
      if (!quota) return ADMITTED;
      const decision = requestToken(quota, now);
      if (quota.shouldAskNow(now())) rounds.askNow(name);
      return decision;
    },
    refund: ({ name }) => localQuotas.of(name)?.refund(now()),
    describe: ({ name, limit }) => ({
      limitPerSecond: limit?.perSecond ?? 0,
      burst: limit?.burst ?? 0,
      ...localQuotas.of(name)?.describe(now()),
      storeHeardMsAgo: Math.round(storeHeardMsAgo()),
    }),
    lend,
    stop: () => {
      subscription.unsubscribe();
      rounds.stop();
    },
  };
};
