/** Reads and validates a settings file with a given schema; a file with any invalid field is rejected as a whole. */
import { readFile } from 'node:fs/promises';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';
import type { Failure } from '@cardamomladder/types';
import { describeIssues, failure } from '@cardamomladder/types';
import { parseJsonText } from './jsonText';

/** Validates a parsed value; the failure lists every invalid field and names `source`. */
export const validateAgainstSchema = <S extends z.ZodType>(
  schema: S,
  value: unknown,
  source: string,
): Result<z.output<S>, Failure> => {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(
    failure(
      'settings-invalid',
      `${source} is invalid; change these fields and start again:\n${describeIssues(parsed.error.issues)}`,
    ),
  );
};

/** Parses JSON settings text and validates it with `schema`. */
export const parseWithSchema = <S extends z.ZodType>(
  schema: S,
  text: string,
  source: string,
): Result<z.output<S>, Failure> =>
  parseJsonText(text, source, 'settings-invalid').andThen((value) =>
    validateAgainstSchema(schema, value, source),
  );

/** Reads a JSON settings file and validates it with `schema`. */
export const loadWithSchema = async <S extends z.ZodType>(
  schema: S,
  file: string,
): Promise<Result<z.output<S>, Failure>> => {
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
  return parseWithSchema(schema, text, file);
};
