/**
 * Schema of the operators' document, which holds the complete configuration.
 * The console writes it to the platform KV; every entry validates it again on
 * read, since a document written by hand or by an older console may be invalid.
 */
import { z } from 'zod';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

const nameSchema = (fieldLabel: string) =>
  z.string({ error: `give the ${fieldLabel} as a string` }).regex(NAME_PATTERN, {
    error: `use lower-case letters, digits and '-', starting with a letter (at most 63), for the ${fieldLabel}`,
  });

const regionSchema = z.object({
  name: nameSchema('region name'),
  failureDomains: z
    .array(nameSchema('failure domain name'), { error: 'list the failure domains of this region' })
    .min(1, { error: 'list at least one failure domain for this region' }),
  reserve: z
    .number({ error: 'give reserve as a number between 0 and 0.9' })
    .min(0, { error: 'set reserve to 0 or more' })
    .max(0.9, { error: 'set reserve to 0.9 or less; a region needs some usable slots' })
    .default(0.15),
});

const serviceSchema = z.object({
  name: nameSchema('service name'),
  idempotent: z.boolean({
    error: 'say whether the service is idempotent (true: may run twice; false: at most once)',
  }),
  deadlineMs: z
    .number({ error: 'give deadlineMs in milliseconds' })
    .int({ error: 'give deadlineMs as a whole number of milliseconds' })
    .min(10, { error: 'set deadlineMs to 10 or more' })
    .max(600_000, { error: 'set deadlineMs to 600000 (10 minutes) or less' })
    .default(2000),
  maxAttempts: z
    .number({ error: 'give maxAttempts as a whole number' })
    .int({ error: 'give maxAttempts as a whole number' })
    .min(1, { error: 'set maxAttempts to 1 or more' })
    .max(5, { error: 'set maxAttempts to 5 or less; more retries only add load' })
    .default(3),
  maxShiftPerMinute: z
    .number({ error: 'give maxShiftPerMinute as a fraction of traffic, e.g. 0.2' })
    .gt(0, { error: 'set maxShiftPerMinute above 0, or traffic could never move' })
    .max(1, { error: 'set maxShiftPerMinute to 1 (all traffic) or less' })
    .default(0.2),
  warmupSeconds: z
    .number({ error: 'give warmupSeconds as a number of seconds' })
    .min(0, { error: 'set warmupSeconds to 0 or more' })
    .max(600, { error: 'set warmupSeconds to 600 or less' })
    .default(20),
  /**
   * The planned shift in progress, written by the console when shares change:
   * the split it started from and its start time (Unix time, ms). All
   * entries derive the current split from these values, so they agree on it.
   */
  shift: z
    .object({
      from: z.record(z.string(), z.number().min(0)),
      startedAt: z.number({ error: 'give shift.startedAt in ms since the epoch' }).int(),
    })
    .optional(),
  shares: z.record(
    nameSchema('region name'),
    z
      .number({ error: 'give each share as a number' })
      .min(0, { error: 'set each share to 0 or more' }),
    { error: 'give shares as an object of region name to share' },
  ),
});

/** Schema of the operators' document; parsing fills in the defaults. */
export const documentSchema = z
  .object({
    revision: z
      .number({ error: 'give revision as a whole number; the console sets it' })
      .int({ error: 'give revision as a whole number' })
      .min(0, { error: 'set revision to 0 (a first document) or more' }),
    regions: z.array(regionSchema).min(1, { error: 'list at least one region' }),
    services: z.array(serviceSchema).min(1, { error: 'list at least one service' }),
  })
  .superRefine((doc, ctx) => {
    const regions = new Set(doc.regions.map((r) => r.name));
    const domains = new Set<string>();
    doc.regions.forEach((r, i) => {
      r.failureDomains.forEach((fd, j) => {
        if (domains.has(fd)) {
          ctx.addIssue({
            code: 'custom',
            path: ['regions', i, 'failureDomains', j],
            message: `failure domain '${fd}' is listed twice; give it to one region only`,
          });
        }
        domains.add(fd);
      });
    });
    const serviceNames = new Set<string>();
    doc.services.forEach((s, i) => {
      if (serviceNames.has(s.name)) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i, 'name'],
          message: `service '${s.name}' is defined twice; merge the two entries`,
        });
      }
      serviceNames.add(s.name);
      const shareEntries = Object.entries(s.shares);
      shareEntries.forEach(([r]) => {
        if (!regions.has(r)) {
          ctx.addIssue({
            code: 'custom',
            path: ['services', i, 'shares', r],
            message: `region '${r}' is not in regions; add it there or remove this share`,
          });
        }
      });
      if (shareEntries.reduce((sum, [, v]) => sum + v, 0) <= 0) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i, 'shares'],
          message: 'give at least one region a share above 0',
        });
      }
    });
  });

/** A validated document, with defaults filled in. */
export type Document = z.output<typeof documentSchema>;
/** A document as written by an operator; fields with a default are optional. */
export type DocumentInput = z.input<typeof documentSchema>;
/** A service in a validated document. */
export type ServiceSpec = Document['services'][number];
/** A region in a validated document. */
export type RegionSpec = Document['regions'][number];
