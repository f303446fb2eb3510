/**
 * Typed error kinds. Every failure that crosses a package boundary is one of
 * these, carried in a neverthrow `Result`; each message says what to do.
 */

/** The kinds of failure the system names; each maps to one remedy. */
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

/** A failure with its kind, a message that names the remedy, and optional detail. */
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

/** Builds a `Failure`; shorter at call sites than `new Failure(...)`. */
export const failure = (
  kind: FailureKind,
  message: string,
  detail: Record<string, unknown> = {},
): Failure => new Failure(kind, message, detail);

/** One problem found by a schema: where, and what to change. */
export interface SchemaIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Renders a field path as `services[1].shares.akureyri`. */
export const fieldPath = (path: readonly PropertyKey[]): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '') || '(top level)';

/** Renders schema issues as one line each: `field: what to change`. */
export const describeIssues = (issues: readonly SchemaIssue[]): string =>
  issues.map((issue) => `${fieldPath(issue.path)}: ${issue.message}`).join('\n');
