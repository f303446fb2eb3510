/**
 * Typed error kinds. Every failure that crosses a package boundary has one of
 * these kinds and is returned in a neverthrow `Result`. Each message tells the
 * reader how to resolve the failure.
 */

/** Failure kinds. Each kind corresponds to one remedy. */
export type FailureKind =
  | 'settings-invalid'
  | 'document-invalid'
  | 'document-stale'
  | 'service-unknown'
  | 'request-malformed'
  | 'request-too-large'
  | 'store-unavailable'
  | 'store-conflict'
  | 'store-outcome-unknown'
  | 'lease-lapsed'
  | 'no-target'
  | 'region-full'
  | 'not-run'
  | 'outcome-unknown'
  | 'deadline-exceeded'
  | 'duplicate-request';

/** An error with a kind, a message that states the remedy, and optional structured detail. */
export class Failure extends Error {
  readonly kind: FailureKind;

  readonly detail: Readonly<Record<string, unknown>>;

  constructor(kind: FailureKind, message: string, detail: Record<string, unknown> = {}) {
    super(message);
    this.name = 'Failure';
    this.kind = kind;
    this.detail = detail;
  }
}

/** Shorthand for `new Failure(...)`. */
export const failure = (
  kind: FailureKind,
  message: string,
  detail: Record<string, unknown> = {},
): Failure => new Failure(kind, message, detail);

/** A schema validation issue: the path of the invalid field and what to change. */
export interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Formats a field path, for example `services[1].shares.akureyri`. */
export const fieldPath = (path: readonly PropertyKey[]): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '') || '(top level)';

/** Formats schema issues, one line each: `field: what to change`. */
export const describeIssues = (issues: readonly SchemaIssue[]): string =>
  issues.map((issue) => `${fieldPath(issue.path)}: ${issue.message}`).join('\n');
