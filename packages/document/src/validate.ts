/** Validation of the operators' document, as JSON text or as a parsed value. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { describeIssues, failure } from '@cardamomladder/types';
import type { Document } from './schema';
import { documentSchema } from './schema';

/** Validates a parsed value; the error lists every invalid field and how to correct it. */
export const validateDocument = (value: unknown): Result<Document, Failure> => {
  const parsed = documentSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(
    failure(
      'document-invalid',
      `the operators' document is invalid; fix these fields and submit again:\n${describeIssues(parsed.error.issues)}`,
      { issues: parsed.error.issues.length },
    ),
  );
};

/** Parses JSON text and validates it. */
export const parseDocument = (text: string): Result<Document, Failure> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    return err(
      failure(
        'document-invalid',
        `the operators' document is not JSON (${(cause as Error).message}); save it as JSON and submit again`,
      ),
    );
  }
  return validateDocument(value);
};
