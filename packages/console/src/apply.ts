/**
 * Applying an operators' document. The operator edits from the revision they
 * loaded; apply writes revision + 1 with compare-and-swap on the key's store
 * revision, so of two volunteers racing from the same revision exactly one
 * wins and the other is told to reload. A reply lost after the write took
 * effect is resolved by reading the key back: if our text is there, the
 * change happened.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Document, DocumentInput } from '@cardamomladder/document';
import { parseDocument, validateDocument } from '@cardamomladder/document';
import type { KvClient } from '@cardamomladder/platform-kv';
import { distance, normalize, scheduled } from '@cardamomladder/steering';
import type { Failure, RegionName } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';

/** Key of the operators' document unless settings say otherwise. */
export const DOCUMENT_KEY = 'cardamomladder/document';

/** Result of an apply: the revision now in the store. */
export interface Applied {
  revision: number;
  storeRevision: number;
  attempts: number;
}

const UNAVAILABLE_TRIES = 5;

const splitOf = (shares: Record<string, number>) =>
  normalize(new Map(Object.entries(shares) as [RegionName, number][]));

/**
 * Adds planned-shift records: for every service whose shares changed, the
 * split it starts from (where the previous shift stood now) and the time.
 */
export const withShifts = (
  next: Document,
  previous: Document | undefined,
  now: number,
): Document => ({
  ...next,
  services: next.services.map((service) => {
    const before = previous?.services.find((s) => s.name === service.name);
    if (!before) return { ...service, shift: undefined };
    const standing = before.shift
      ? scheduled(
          splitOf(before.shift.from),
          splitOf(before.shares),
          before.shift.startedAt,
          before.maxShiftPerMinute,
          now,
        )
      : splitOf(before.shares);
    if (distance(standing, splitOf(service.shares)) < 1e-9)
      return { ...service, shift: before.shift };
    return { ...service, shift: { from: Object.fromEntries(standing), startedAt: now } };
  }),
});

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Validates `input` and writes it as the next revision after `input.revision`.
 * Errors: `document-invalid`, `document-stale` (someone applied since),
 * `store-unavailable` (nothing written, after retries).
 */
export const applyDocument = async (
  kv: KvClient,
  input: DocumentInput,
  options: { key?: string; now?: () => number; backoffMs?: number } = {},
): Promise<Result<Applied, Failure>> => {
  const key = options.key ?? DOCUMENT_KEY;
  const now = options.now ?? Date.now;
  const backoffMs = options.backoffMs ?? 100;
  const checked = validateDocument(input);
  if (checked.isErr()) return err(checked.error);
  const base = checked.value.revision;
  let written: string | undefined;
  for (let attempt = 1; ; attempt += 1) {
    const read = await kv.get(key);
    if (read.isErr()) {
      if (attempt >= UNAVAILABLE_TRIES) return err(read.error);
      await sleep(backoffMs * 2 ** attempt);
      continue;
    }
    const item = read.value;
    if (written !== undefined && item?.value === written) {
      return ok({ revision: base + 1, storeRevision: item.modRevision, attempts: attempt });
    }
    const current = item?.value ? parseDocument(item.value) : undefined;
    const currentRevision = current?.isOk() ? current.value.revision : 0;
    if (currentRevision !== base) {
      return err(
        failure(
          'document-stale',
          `revision ${currentRevision} was applied since you loaded revision ${base}; reload the document, redo your change and apply again`,
          { currentRevision },
        ),
      );
    }
    const next = withShifts(
      { ...checked.value, revision: base + 1 },
      current?.isOk() ? current.value : undefined,
      now(),
    );
    written = JSON.stringify(next);
    const put = await kv.put(key, written, { expectRevision: item?.modRevision ?? 0 });
    if (put.isOk()) return ok({ revision: base + 1, storeRevision: put.value, attempts: attempt });
    if (put.error.kind === 'store-outcome-unknown') continue;
    if (put.error.kind === 'store-conflict') continue;
    if (attempt >= UNAVAILABLE_TRIES) return err(put.error);
    await sleep(backoffMs * 2 ** attempt);
  }
};

/** Reads the document in force; null when none was applied yet. */
export const readDocument = async (
  kv: KvClient,
  key = DOCUMENT_KEY,
): Promise<Result<Document | null, Failure>> => {
  const read = await kv.get(key);
  if (read.isErr()) return err(read.error);
  if (!read.value?.value) return ok(null);
  const parsed = parseDocument(read.value.value);
  return parsed.isOk() ? ok(parsed.value) : err(parsed.error);
};
