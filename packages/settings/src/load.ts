/**
 * Loading settings: read, parse, validate, all or nothing. A bad file is
 * refused whole with every bad field named, so a daemon never starts on half
 * of what the operator wrote.
 */
import { readFile } from 'node:fs/promises';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { describeIssues, failure } from '@cardamomladder/types';
import { parseJsonText } from './jsonText';
import type { EntrySettings } from './schema';
import { entrySettingsSchema } from './schema';

/** Validates settings already parsed from JSON. */
export const validateSettings = (
  value: unknown,
  source = 'settings',
): Result<EntrySettings, Failure> => {
  const parsed = entrySettingsSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(
    failure(
      'settings-invalid',
      `${source} is invalid; change these fields and start again:\n${describeIssues(parsed.error.issues)}`,
    ),
  );
};

/** Reads and validates a settings file. */
export const loadSettings = async (file: string): Promise<Result<EntrySettings, Failure>> => {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (cause) {
    return err(
      failure(
        'settings-invalid',
        `cannot read settings file ${file} (${(cause as Error).message}); give the path of a JSON file`,
      ),
    );
  }
  return parseJsonText(text, file, 'settings-invalid').andThen((value) =>
    validateSettings(value, file),
  );
};
