/**
 * Applies a document that an operator edited. The document carries the
 * revision that was loaded; it is written as revision + 1 with a
 * compare-and-swap on the key's store revision. Of two operators who edit the
 * same revision concurrently, exactly one succeeds and the other must reload.
 * If the response to the write is lost, the key is read back: if it holds the
 * written text, the change was applied.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Document, DocumentInput } from '@cardamomladder/document';
import { parseDocument, validateDocument } from '@cardamomladder/document';
import type { KvClient } from '@cardamomladder/platform-kv';
import { splitDistance, normalizeWeights, scheduledSplitAt } from '@cardamomladder/steering';
import type { Failure, RegionName } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';

/** Default key of the operators' document. */
export const DOCUMENT_KEY = 'cardamomladder/document';

/** Result of `applyDocument`: the applied revision, its store revision and the number of attempts. */
export interface ApplyResult {
  revision: number;
  storeRevision: number;
  attempts: number;
}

/** Attempts with an unavailable store; conflicts and unknown outcomes are retried without a limit. */
const MAX_UNAVAILABLE_ATTEMPTS = 5;

const normalizeShares = (shares: Record<string, number>) =>
  normalizeWeights(new Map(Object.entries(shares) as [RegionName, number][]));

/**
 * Adds a planned shift to every service whose shares changed: the start time
 * and the initial split, which is the point that the previous shift has
 * reached by `now`.
 */
export const withPlannedShifts = (
  next: Document,
  previous: Document | undefined,
  now: number,
): Document => ({
  ...next,
  services: next.services.map((service) => {
    const previousService = previous?.services.find((s) => s.name === service.name);
    if (!previousService) return { ...service, shift: undefined };
    const currentSplit = previousService.shift
      ? scheduledSplitAt(
          normalizeShares(previousService.shift.from),
          normalizeShares(previousService.shares),
          previousService.shift.startedAt,
          previousService.maxShiftPerMinute,
          now,
        )
      : normalizeShares(previousService.shares);
    if (splitDistance(currentSplit, normalizeShares(service.shares)) < 1e-9)
      return { ...service, shift: previousService.shift };
    return { ...service, shift: { from: Object.fromEntries(currentSplit), startedAt: now } };
  }),
});

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Validates `input` and writes it as the next revision after `input.revision`.
 * Errors: `document-invalid`, `document-stale` (another revision was applied
 * since), `store-unavailable` (still unavailable after retries; nothing was
 * written, unless the response to an earlier write was lost).
 */
export const applyDocument = async (
  kv: KvClient,
  input: DocumentInput,
  options: { key?: string; now?: () => number; backoffMs?: number } = {},
): Promise<Result<ApplyResult, Failure>> => {
  const key = options.key ?? DOCUMENT_KEY;
  const now = options.now ?? Date.now;
  const backoffMs = options.backoffMs ?? 100;
  const validated = validateDocument(input);
  if (validated.isErr()) return err(validated.error);
  const baseRevision = validated.value.revision;
  let writtenText: string | undefined;
  for (let attempt = 1; ; attempt += 1) {
    const readResult = await kv.get(key);
    if (readResult.isErr()) {
      if (attempt >= MAX_UNAVAILABLE_ATTEMPTS) return err(readResult.error);
      await sleep(backoffMs * 2 ** attempt);
      continue;
    }
    const item = readResult.value;
    if (writtenText !== undefined && item?.value === writtenText) {
      return ok({ revision: baseRevision + 1, storeRevision: item.modRevision, attempts: attempt });
    }
    const current = item?.value ? parseDocument(item.value) : undefined;
    const currentRevision = current?.isOk() ? current.value.revision : 0;
    if (currentRevision !== baseRevision) {
      return err(
        failure(
          'document-stale',
          `revision ${currentRevision} was applied since you loaded revision ${baseRevision}; reload the document, redo the change and apply it again`,
          { currentRevision },
        ),
      );
    }
    const next = withPlannedShifts(
      { ...validated.value, revision: baseRevision + 1 },
      current?.isOk() ? current.value : undefined,
      now(),
    );
    writtenText = JSON.stringify(next);
    const putResult = await kv.put(key, writtenText, { expectRevision: item?.modRevision ?? 0 });
    if (putResult.isOk())
      return ok({ revision: baseRevision + 1, storeRevision: putResult.value, attempts: attempt });
    if (putResult.error.kind === 'store-outcome-unknown') continue;
    if (putResult.error.kind === 'store-conflict') continue;
    if (attempt >= MAX_UNAVAILABLE_ATTEMPTS) return err(putResult.error);
    await sleep(backoffMs * 2 ** attempt);
  }
};

/** Reads the current document; null if none has been applied yet. */
export const readDocument = async (
  kv: KvClient,
  key = DOCUMENT_KEY,
): Promise<Result<Document | null, Failure>> => {
  const readResult = await kv.get(key);
  if (readResult.isErr()) return err(readResult.error);
  if (!readResult.value?.value) return ok(null);
  const parsed = parseDocument(readResult.value.value);
  return parsed.isOk() ? ok(parsed.value) : err(parsed.error);
};
