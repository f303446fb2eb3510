/** `cardamomladder console validate|apply|show`: manages the operators' document in the platform KV. */
import { readFile } from 'node:fs/promises';
import { DOCUMENT_KEY, applyDocument, readDocument } from '@cardamomladder/console';
import { parseDocument } from '@cardamomladder/document';
import { createKvClient } from '@cardamomladder/platform-kv';

/** Validates a document file; returns exit code 0 if it is valid. */
export const validateCommand = async (file: string): Promise<number> => {
  const parsed = parseDocument(await readFile(file, 'utf8'));
  if (parsed.isErr()) {
    console.error(parsed.error.message);
    return 2;
  }
  console.log(
    `${file}: valid (revision ${parsed.value.revision}, ${parsed.value.services.length} services)`,
  );
  return 0;
};

/** Applies a document file to the platform KV as the next revision. */
export const applyCommand = async (
  file: string,
  platform: string,
  key = DOCUMENT_KEY,
): Promise<number> => {
  const parsed = parseDocument(await readFile(file, 'utf8'));
  if (parsed.isErr()) {
    console.error(parsed.error.message);
    return 2;
  }
  const applied = await applyDocument(createKvClient({ url: platform }), parsed.value, { key });
  if (applied.isErr()) {
    console.error(applied.error.message);
    return applied.error.kind === 'document-stale' ? 3 : 1;
  }
  console.log(JSON.stringify(applied.value));
  return 0;
};

/** Prints the current document. */
export const showCommand = async (platform: string, key = DOCUMENT_KEY): Promise<number> => {
  const read = await readDocument(createKvClient({ url: platform }), key);
  if (read.isErr()) {
    console.error(read.error.message);
    return 1;
  }
  console.log(JSON.stringify(read.value, null, 2));
  return 0;
};
