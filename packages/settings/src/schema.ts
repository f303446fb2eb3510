/**
 * Settings of an entry daemon, read from a JSON file at start. Defaults live
 * here and nowhere else. A process learns its addresses and failure domain
 * from these settings (the brief: "Where it will run").
 */
import { z } from 'zod';

const NAME = /^[a-z][a-z0-9-]{0,62}$/;
const name = (what: string) =>
  z.string({ error: `give ${what} as a string` }).regex(NAME, {
    error: `use lower-case letters, digits and '-' for ${what}, starting with a letter`,
  });
const ms = (what: string, min: number, max: number) =>
  z
    .number({ error: `give ${what} in milliseconds` })
    .int({ error: `give ${what} as a whole number of milliseconds` })
    .min(min, { error: `set ${what} to ${min} ms or more` })
    .max(max, { error: `set ${what} to ${max} ms or less` });

/** The entry daemon's settings schema; `parse` fills defaults. */
export const entrySettingsSchema = z.strictObject(
  {
    id: name('id (this entry instance, unique in the fleet)'),
    region: name('region'),
    failureDomain: name('failureDomain'),
    listen: z
      .strictObject({
        host: z.string().default('127.0.0.1'),
        port: z
          .number({ error: 'give listen.port as a number' })
          .int()
          .min(0, { error: 'set listen.port between 0 (any free port) and 65535' })
          .max(65535, { error: 'set listen.port between 0 and 65535' }),
      })
      .default({ host: '127.0.0.1', port: 0 }),
    /** `host:port` callers should use; defaults to the listening address. */
    advertise: z.string().optional(),
    platform: z.strictObject({
      url: z.url({ error: 'set platform.url to the platform service, e.g. http://127.0.0.1:7400' }),
      documentKey: z.string().default('cardamomladder/document'),
      timeoutMs: ms('platform.timeoutMs', 50, 60_000).default(2000),
      watchWaitMs: ms('platform.watchWaitMs', 100, 60_000).default(30_000),
    }),
    membersPollMs: ms('membersPollMs', 100, 60_000).default(1000),
    leaseTtlMs: ms('leaseTtlMs', 1000, 120_000).default(10_000),
    tickMs: ms('tickMs', 10, 10_000).default(250),
    connectTimeoutMs: ms('connectTimeoutMs', 10, 10_000).default(300),
    drainGraceMs: ms('drainGraceMs', 0, 600_000).default(60_000),
    log: z.string().default('cardamomladder:*,-cardamomladder:trace'),
  },
  {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `remove unknown field(s) ${issue.keys.join(', ')}`
        : undefined,
  },
);

/** Settings after validation, defaults filled. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
/** Settings as written in the JSON file. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
