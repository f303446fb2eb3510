/** The statements that instances exchange, and their format in messages. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { Failure, InstanceId } from '@cardamomladder/types';
import { failure, fieldPath, instanceId } from '@cardamomladder/types';
import type { AnySection } from './section';

/** Maximum number of statements in one message: more than the instances that serve callers in the largest fleet. */
export const MAX_STATEMENTS = 400;
/** How long a statement is valid, ms: eight rounds, of which several may fail. */
export const STATEMENT_VALID_MS = 2000;

/** What one instance says, in the form that is passed on from peer to peer. */
export interface Statement {
  id: InstanceId;
  /** Start time of its process (Unix time, ms): tells its processes apart. */
  run: number;
  /** Increases with each statement of the process. */
  sequence: number;
  /** Time since it was made, ms; an age rather than a time, since clocks differ between machines. */
  ageMs: number;
  /** Content by section name. */
  sections: Record<string, unknown>;
}

const count = z.number().int().min(0);
const statement = z.object({
  id: z.string().min(1).max(200).transform(instanceId),
  run: count,
  sequence: count,
  ageMs: z.number().min(0).max(STATEMENT_VALID_MS),
  sections: z.record(z.string(), z.unknown()),
});
const message = z.object({ statements: z.array(statement).max(MAX_STATEMENTS) });

/** A message of the exchange. */
export interface ExchangeMessage {
  statements: Statement[];
}

const firstIssue = ({ issues }: z.ZodError, path: readonly PropertyKey[]): string => {
  const [issue] = issues;
  return `${fieldPath([...path, ...issue.path])}: ${issue.message}`;
};

/** Checks the content of the known sections; returns the first problem. */
const sectionProblem = (
  { id, sections }: Statement,
  known: ReadonlyMap<string, AnySection>,
): string | undefined => {
  for (const [name, content] of Object.entries(sections)) {
    const section = known.get(name);
    const checked = section?.schema.safeParse(content);
    if (checked && !checked.success) return firstIssue(checked.error, ['statements', id, name]);
    if (section && JSON.stringify(content).length > section.maxBytes)
      return `statements.${id}.${name}: over ${section.maxBytes} bytes`;
  }
  return undefined;
};

/** Checks a received message; it is refused as a whole, with the name of the first wrong field. */
export const parseMessage = (
  received: unknown,
  known: ReadonlyMap<string, AnySection>,
): Result<ExchangeMessage, Failure> => {
  const checked = message.safeParse(received);
  if (!checked.success) return err(failure('request-malformed', firstIssue(checked.error, [])));
  const problem = checked.data.statements
    .map((each) => sectionProblem(each, known))
    .find((found) => found !== undefined);
  return problem === undefined ? ok(checked.data) : err(failure('request-malformed', problem));
};
