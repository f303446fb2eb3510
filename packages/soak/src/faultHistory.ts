/** Records which component had a fault when: guarantees with a time bound hold only for unaffected components. */

interface FaultInterval {
  component: string;
  from: number;
  to: number;
}

/** How long a component counts as affected after a fault ends, ms. */
const SETTLE_MS = 3000;

/** Fault intervals by component; `all` affects every component. */
export class FaultHistory {
  private readonly intervals: FaultInterval[] = [];

  /** Records the start of a fault; returns a function that records its end. */
  begin(component: string, now: number): (at: number) => void {
    const interval = { component, from: now, to: Infinity };
    this.intervals.push(interval);
    return (at) => {
      interval.to = at;
    };
  }

  /** True if no fault affected any component from `SETTLE_MS` before `from` until `to`. */
  calm(from: number, to: number): boolean {
    return !this.intervals.some(
      (interval) => interval.from <= to && interval.to + SETTLE_MS >= from,
    );
  }

  /** True if no fault affected the components from `SETTLE_MS` before `from` until `to`. */
  unaffected(components: readonly string[], from: number, to: number): boolean {
    return !this.intervals.some(
      (interval) =>
        (interval.component === 'all' || components.includes(interval.component)) &&
        interval.from <= to &&
        interval.to + SETTLE_MS >= from,
    );
  }
}
