/**
 * Settings of one instance: its identity and location, listen addresses, seed
 * peers, store address and operational limits. The platform renders the file
 * from a template at every start and change. Unknown fields are ignored because
 * any platform release may add fields.
 */
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { Failure } from '@cardamomladder/types';
import { loadWithSchema, parseWithSchema } from './settingsFile';

const hostAndPort = (field: string) =>
  z.string().regex(/^[^\s:]+:\d{1,5}$/, { error: `give ${field} as host:port` });
const nonEmptyString = (field: string) =>
  z.string({ error: `give ${field} as a string` }).min(1, { error: `give ${field}` });
const positiveNumber = (field: string) =>
  z.number({ error: `give ${field} as a number` }).positive();
const nonNegativeNumber = (field: string) =>
  z.number({ error: `give ${field} as a number` }).min(0);

/** Services for which a part that answers load is in effect: none, those whose targets state their pace, or all. */
const scope = (field: string) =>
  z.enum(['off', 'paced', 'all'], { error: `give ${field} as off, paced or all` }).default('off');

const MAX_WAIT_SHARE = { min: 0, max: 0.5 };
const maxWaitShareRange = `give admission.maxWaitShare from ${MAX_WAIT_SHARE.min} to ${MAX_WAIT_SHARE.max}`;
const EXCHANGE_INTERVAL_MS = { min: 100, max: 2000 };

/** The targets that are not ejected must carry the load. */
const MAX_EJECTED_SHARE = { min: 0, max: 0.5 };
const MAX_EJECTED_SHARE_ERROR = `give pace.maxEjectedShare from ${MAX_EJECTED_SHARE.min} to ${MAX_EJECTED_SHARE.max}`;

/** Schema of the instance settings file, and the only place where its defaults are defined. */
export const instanceSettingsSchema = z.object({
  instance: z.object({
    id: nonEmptyString('instance.id'),
    ip: nonEmptyString('instance.ip'),
    failureDomain: nonEmptyString('instance.failureDomain'),
    region: nonEmptyString('instance.region'),
    /** Machine capacity: fraction of a CPU core, relative speed of that core, and link bandwidth in Mbit/s. */
    capacity: z
      .object({
        coreShare: positiveNumber('instance.capacity.coreShare').default(1),
        coreSpeed: positiveNumber('instance.capacity.coreSpeed').default(1),
        linkMbps: positiveNumber('instance.capacity.linkMbps').default(1000),
      })
      .prefault({}),
  }),
  listen: z.object({
    callers: hostAndPort('listen.callers'),
    readiness: hostAndPort('listen.readiness'),
    directory: hostAndPort('listen.directory'),
    peers: hostAndPort('listen.peers'),
  }),
  /** Port of the metrics endpoint; 0 disables it. */
  metricsPort: z.number().int().min(0).max(65535).default(0),
  /** Peer addresses to contact first; some may be stale. */
  seeds: z.array(z.string()).default([]),
  /** Maps each failure domain to its region. */
  failureDomains: z.record(z.string(), z.string()),
  store: z.object({ address: hostAndPort('store.address') }),
  bounds: z.object({
    /** Time between SIGTERM and SIGKILL at shutdown. */
    graceSeconds: positiveNumber('bounds.graceSeconds'),
    /** Retry budget of a service: retries allowed per request, fleet-wide. */
    repeatRatio: nonNegativeNumber('bounds.repeatRatio'),
    /** Retry budget of a service: additional retries allowed per window, fleet-wide. */
    repeatExtra: nonNegativeNumber('bounds.repeatExtra'),
    repeatWindowSeconds: positiveNumber('bounds.repeatWindowSeconds'),
    /** A cold target tolerates its declared request rate times this factor, plus `coldSlack` requests per second. */
    coldOverage: positiveNumber('bounds.coldOverage'),
    coldSlack: nonNegativeNumber('bounds.coldSlack'),
    /**
     * Quota tolerance: within any window of this length, a customer may exceed its limit by the
     * fraction `quotaOverage` plus `quotaSlack` requests.
     */
    quotaWindowSeconds: positiveNumber('bounds.quotaWindowSeconds').default(5),
    quotaOverage: nonNegativeNumber('bounds.quotaOverage').default(0),
    quotaSlack: nonNegativeNumber('bounds.quotaSlack').default(0),
    /** Longest TTL of a directory response that callers honour. */
    directoryTtlSeconds: positiveNumber('bounds.directoryTtlSeconds'),
  }),
  /** The platform's terms for the deployment, in its own words. */
  terms: z.array(z.string()).default([]),
  /** What instances tell each other about themselves and their load. */
  exchange: z
    .object({
      scope: scope('exchange.scope'),
      /** Interval at which an instance that serves callers asks a peer, ms. */
      intervalMs: z
        .number()
        .int()
        .min(EXCHANGE_INTERVAL_MS.min, {
          error: `give exchange.intervalMs from ${EXCHANGE_INTERVAL_MS.min} to ${EXCHANGE_INTERVAL_MS.max}`,
        })
        .max(EXCHANGE_INTERVAL_MS.max, {
          error: `give exchange.intervalMs from ${EXCHANGE_INTERVAL_MS.min} to ${EXCHANGE_INTERVAL_MS.max}`,
        })
        .default(250),
    })
    .prefault({}),
  /** Slots are divided among customers and routes while a service has too few. */
  fairness: z.object({ scope: scope('fairness.scope') }).prefault({}),
  /** Instances that the store turns away and that say in the exchange that they serve callers stay known. */
  liveInstances: z.object({ scope: scope('liveInstances.scope') }).prefault({}),
  /** Whether requests may wait for a slot when all are in use, and are told when to return by the rate of service. */
  admission: z
    .object({
      scope: scope('admission.scope'),
      /** Longest wait as a share of the route's latency objective. */
      maxWaitShare: z
        .number({ error: 'give admission.maxWaitShare as a number' })
        .min(MAX_WAIT_SHARE.min, { error: maxWaitShareRange })
        .max(MAX_WAIT_SHARE.max, { error: maxWaitShareRange })
        .default(0.125),
    })
    .prefault({}),
  /** Ejection of targets that state that they are slow. */
  pace: z
    .object({
      scope: scope('pace.scope'),
      /** Largest share of a service's slots that may be ejected. */
      maxEjectedShare: z
        .number({ error: MAX_EJECTED_SHARE_ERROR })
        .min(MAX_EJECTED_SHARE.min, { error: MAX_EJECTED_SHARE_ERROR })
        .max(MAX_EJECTED_SHARE.max, { error: MAX_EJECTED_SHARE_ERROR })
        .default(1 / 3),
    })
    .prefault({}),
  /** Enabled log namespaces, in `debug` syntax. */
  log: z.string().default('cardamomladder:*,-cardamomladder:trace'),
});

/** Services for which a part is in effect. */
export type Scope = 'off' | 'paced' | 'all';

/** Validated instance settings with defaults applied. */
export type InstanceSettings = z.output<typeof instanceSettingsSchema>;

/** Parses and validates settings text; `source` identifies the file in error messages. */
export const parseInstanceSettings = (
  text: string,
  source: string,
): Result<InstanceSettings, Failure> => parseWithSchema(instanceSettingsSchema, text, source);

/** Reads and validates a settings file. */
export const loadInstanceSettings = (file: string): Promise<Result<InstanceSettings, Failure>> =>
  loadWithSchema(instanceSettingsSchema, file);
