/**
 * Loading an entry's settings: read, parse, validate, all or nothing. A bad
 * file is refused whole with every bad field named, so a daemon never starts
 * on half of what the operator wrote.
 */
import type { Result } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import type { EntrySettings } from './schema';
import { entrySettingsSchema } from './schema';
import { loadAgainst, validateAgainst } from './settingsFile';

/** Validates settings already parsed from JSON. */
export const validateSettings = (
  value: unknown,
  source = 'settings',
): Result<EntrySettings, Failure> => validateAgainst(entrySettingsSchema, value, source);

/** Reads and validates a settings file. */
export const loadSettings = (file: string): Promise<Result<EntrySettings, Failure>> =>
  loadAgainst(entrySettingsSchema, file);
