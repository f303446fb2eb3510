import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure, FailureKind } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';

/** Parses JSON text; a syntax error is returned as a failure of `kind` that names `source` and the position. */
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
