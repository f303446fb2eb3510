/** What instances tell each other of the paces of targets: each only what it has found itself. */
import { z } from 'zod';
import type { HeardPace, SlowFinding } from '@cardamomladder/steering';
import { FINDING_VALID_MS, MAX_PACE } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { targetId } from '@cardamomladder/types';
import type { Section, StatedContent } from '../peers/exchange';

/** Maximum number of targets in one instance's statement. */
export const MAX_STATED_PACES = 64;

/** A slow target's id, its pace, and the age of that report, ms. */
type StatedPace = [id: string, pace: number, ageMs: number];

/** The section of slow targets. */
export const PACE_SECTION: Section<StatedPace[]> = {
  name: 'pace',
  schema: z
    .array(
      z.tuple([
        z.string().min(1).max(200),
        z.number().min(1).max(MAX_PACE),
        z.number().min(0).max(FINDING_VALID_MS),
      ]),
    )
    .max(MAX_STATED_PACES),
  maxBytes: 4096,
};

/** Returns what to say of the slow targets that this instance has found, the slowest first; undefined if there are none. */
export const statePaces = (
  findings: readonly (SlowFinding & { id: TargetId })[],
  now: number,
): StatedPace[] | undefined => {
  const stated = findings
    .slice(0, MAX_STATED_PACES)
    .map(({ id, pace, at }): StatedPace => [id, pace, Math.max(0, Math.round(now - at))]);
  while (JSON.stringify(stated).length > PACE_SECTION.maxBytes) stated.pop();
  return stated.length === 0 ? undefined : stated;
};

/** Returns the paces that peers have stated, with the times of the targets' reports on this instance's clock. */
export const heardPaces = (
  statements: readonly StatedContent<StatedPace[]>[],
  now: number,
): HeardPace[] =>
  statements.flatMap(({ content, ageMs }) =>
    content.map(([id, pace, reportAgeMs]) => ({
      id: targetId(id),
      pace,
      at: now - ageMs - reportAgeMs,
    })),
  );
