/**
 * Loads the settings of an entry daemon. An invalid file is rejected as a whole
 * with every invalid field listed, so a daemon never starts with only part of
 * its configuration applied.
 */
import type { Result } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import type { EntrySettings } from './entrySettingsSchema';
import { entrySettingsSchema } from './entrySettingsSchema';
import { loadWithSchema, validateAgainstSchema } from './settingsFile';

/** Validates entry settings that are already parsed from JSON. */
export const validateEntrySettings = (
  value: unknown,
  source = 'settings',
): Result<EntrySettings, Failure> => validateAgainstSchema(entrySettingsSchema, value, source);

/** Reads and validates an entry settings file. */
export const loadEntrySettings = (file: string): Promise<Result<EntrySettings, Failure>> =>
  loadWithSchema(entrySettingsSchema, file);
