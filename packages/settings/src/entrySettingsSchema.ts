/**
 * Settings of an entry daemon, read from a JSON file at startup. This schema is
 * the only place where defaults are defined, and the only source of a process's
 * addresses and failure domain.
 */
import { z } from 'zod';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const nameField = (field: string) =>
  z.string({ error: `give ${field} as a string` }).regex(NAME_PATTERN, {
    error: `use lower-case letters, digits and '-' for ${field}, starting with a letter`,
  });
const millisecondsField = (field: string, min: number, max: number) =>
  z
    .number({ error: `give ${field} in milliseconds` })
    .int({ error: `give ${field} as a whole number of milliseconds` })
    .min(min, { error: `set ${field} to ${min} ms or more` })
    .max(max, { error: `set ${field} to ${max} ms or less` });

/** Schema of the entry daemon's settings; `parse` applies the defaults. */
export const entrySettingsSchema = z.strictObject(
  {
    id: nameField('id (this entry instance, unique in the fleet)'),
    region: nameField('region'),
    failureDomain: nameField('failureDomain'),
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
    /** `host:port` advertised to callers; defaults to the listen address. */
    advertise: z.string().optional(),
    platform: z.strictObject({
      url: z.url({ error: 'set platform.url to the platform service, e.g. http://127.0.0.1:7400' }),
      documentKey: z.string().default('cardamomladder/document'),
      timeoutMs: millisecondsField('platform.timeoutMs', 50, 60_000).default(2000),
      watchWaitMs: millisecondsField('platform.watchWaitMs', 100, 60_000).default(30_000),
    }),
    membersPollMs: millisecondsField('membersPollMs', 100, 60_000).default(1000),
    leaseTtlMs: millisecondsField('leaseTtlMs', 1000, 120_000).default(10_000),
    tickMs: millisecondsField('tickMs', 10, 10_000).default(250),
    connectTimeoutMs: millisecondsField('connectTimeoutMs', 10, 10_000).default(300),
    drainGraceMs: millisecondsField('drainGraceMs', 0, 600_000).default(60_000),
    log: z.string().default('cardamomladder:*,-cardamomladder:trace'),
  },
  {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `remove unknown field(s) ${issue.keys.join(', ')}`
        : undefined,
  },
);

/** Validated entry settings with defaults applied. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
/** Entry settings as written in the JSON file. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
