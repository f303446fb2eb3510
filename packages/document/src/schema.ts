/**
 * The operators' document: the whole of what the operators intend. The
 * console writes it to the platform KV; every entry validates it again on
 * read, since a document written by an older console or by hand may be bad.
 */
import { z } from 'zod';

const NAME = /^[a-z][a-z0-9-]{0,62}$/;

const name = (what: string) =>
  z.string({ error: `give the ${what} as a string` }).regex(NAME, {
    error: `use lower-case letters, digits and '-', starting with a letter (at most 63), for the ${what}`,
  });

const region = z.object({
  name: name('region name'),
  failureDomains: z
    .array(name('failure domain name'), { error: 'list the failure domains of this region' })
    .min(1, { error: 'list at least one failure domain for this region' }),
  reserve: z
    .number({ error: 'give reserve as a number between 0 and 0.9' })
    .min(0, { error: 'set reserve to 0 or more' })
    .max(0.9, { error: 'set reserve to 0.9 or less; a region needs some usable slots' })
    .default(0.15),
});

const service = z.object({
  name: name('service name'),
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
   * A planned shift in progress, written by the console when shares change:
   * the split it started from and when (ms since epoch). Entries place
   * themselves on the schedule from these, so all agree where the shift is.
   */
  shift: z
    .object({
      from: z.record(z.string(), z.number().min(0)),
      startedAt: z.number({ error: 'give shift.startedAt in ms since the epoch' }).int(),
    })
    .optional(),
  shares: z.record(
    name('region name'),
    z
      .number({ error: 'give each share as a number' })
      .min(0, { error: 'set each share to 0 or more' }),
    { error: 'give shares as an object of region name to share' },
  ),
});

/** The document schema; `parse` fills defaults. */
export const documentSchema = z
  .object({
    revision: z
      .number({ error: 'give revision as a whole number; the console sets it' })
      .int({ error: 'give revision as a whole number' })
      .min(0, { error: 'set revision to 0 (a first document) or more' }),
    regions: z.array(region).min(1, { error: 'list at least one region' }),
    services: z.array(service).min(1, { error: 'list at least one service' }),
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
    const seen = new Set<string>();
    doc.services.forEach((s, i) => {
      if (seen.has(s.name)) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i, 'name'],
          message: `service '${s.name}' is defined twice; merge the two entries`,
        });
      }
      seen.add(s.name);
      const named = Object.entries(s.shares);
      named.forEach(([r]) => {
        if (!regions.has(r)) {
          ctx.addIssue({
            code: 'custom',
            path: ['services', i, 'shares', r],
            message: `region '${r}' is not in regions; add it there or remove this share`,
          });
        }
      });
      if (named.reduce((sum, [, v]) => sum + v, 0) <= 0) {
        ctx.addIssue({
          code: 'custom',
          path: ['services', i, 'shares'],
          message: 'give at least one region a share above 0',
        });
      }
    });
  });

/** The operators' document after validation, with defaults filled in. */
export type Document = z.output<typeof documentSchema>;
/** The document as an operator writes it; defaults may be left out. */
export type DocumentInput = z.input<typeof documentSchema>;
/** One service of the document. */
export type ServiceSpec = Document['services'][number];
/** One region of the document. */
export type RegionSpec = Document['regions'][number];
