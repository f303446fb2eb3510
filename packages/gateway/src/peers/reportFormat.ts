/** Schemas of the crash reports exchanged between peers. */
import { z } from 'zod';
import { MAX_REPORTS_PER_EXCHANGE } from '@cardamomladder/fleet';
import type { TargetRun } from '@cardamomladder/types';
import { callerDigest, requestDigest, storeEpoch } from '@cardamomladder/types';

const request = z.string().transform(requestDigest);
const caller = z.string().transform(callerDigest);
const run = z.string().transform((text) => text as TargetRun);

const place = z.object({ epoch: z.number().transform(storeEpoch), revision: z.number() });

const mark = z.object({ log: z.string(), sequence: z.number().int().min(0) });
const forwardedReport = z.object({
  id: z.string().min(1),
  ageMs: z.number().min(0),
  report: z.object({
    crashes: z
      .array(
        z.object({ run, requests: z.array(z.object({ request, caller })).readonly() }).readonly(),
      )
      .readonly(),
    answered: z.array(z.object({ request, caller: caller.optional() })).readonly(),
    place: place.optional(),
  }),
});
const forwardedReports = z.array(forwardedReport).max(MAX_REPORTS_PER_EXCHANGE);

/** Request for a peer's reports; carries the sender's own reports. */
export const reportsRequest = z.object({ after: mark.optional(), reports: forwardedReports });

/** Response to a `reportsRequest`. */
export const reportsResponse = z.object({ mark, reports: forwardedReports });
