/** When which part was disturbed: a promise with a time bound holds only for parts that were calm. */

interface Span {
  part: string;
  from: number;
  to: number;
}

/** How long a part counts as disturbed after a disturbance, ms. */
const SETTLE_MS = 3000;

/** Spans of disturbance by part; `all` disturbs every part. */
export class Disturbances {
  private readonly spans: Span[] = [];

  /** Notes a disturbance; returns how to end it. */
  begin(part: string, now: number): (at: number) => void {
    const span = { part, from: now, to: Infinity };
    this.spans.push(span);
    return (at) => {
      span.to = at;
    };
  }

  /** True when none of the parts was disturbed from `SETTLE_MS` before `from` to `to`. */
  calm(parts: readonly string[], from: number, to: number): boolean {
    return !this.spans.some(
      (span) =>
        (span.part === 'all' || parts.includes(span.part)) &&
        span.from <= to &&
        span.to + SETTLE_MS >= from,
    );
  }
}
