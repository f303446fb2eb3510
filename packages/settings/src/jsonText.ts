/** Parses JSON text; a syntax error becomes a typed failure that names the source. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure, FailureKind } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';

/** The value of `text`, or a failure of `kind` that says where the syntax is wrong. */
export const parseJsonText = (
  text: string,
  source: string,
  kind: FailureKind,
): Result<unknown, Failure> => {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (cause) {
    return err(
      failure(kind, `${source} is not JSON (${(cause as Error).message}); fix the syntax`),
    );
  }
};
