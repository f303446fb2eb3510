/**
 * Estimates the work that the targets of a contended service take. It follows the
 * placed work, and what is cut is not placed: an estimate that fell with it would cut
 * ever more. So it falls only while requests find no room, never below what was placed
 * and a margin, and grows otherwise. Nor does it fall below what was usual before the
 * contention: instances that cut nothing (of an older version, or cut off from the
 * others) take the slots that the others leave, whose placed work falls then. For the
 * same reason it only grows slowly at an instance that hears no other.
 */

/** Growth in a second in which requests found room. */
const GROWTH_PER_SECOND = 0.1;
/** Margin over the placed work: targets with single full queues reject some requests at any load. */
const MARGIN = 0.05;
/** Time in which the estimate approaches the placed work while requests find no room, ms. */
const FALL_MS = 500;
/** Time in which placed work is measured, ms: until then it includes work from before the contention. */
const WINDOW_MS = 1000;
/** Time for which the estimate of a contention is kept after its end, ms. */
const REMEMBERED_MS = 2000;
const MS_PER_SECOND = 1000;

/** Work that one instance has placed, in slots. */
export interface PlacedWork {
  id: string;
  placed: number;
}

/** The estimated capacity of a contended service, in slots. */
export class CapacityEstimate {
  private placedBy = new Map<string, number>();

  private capacity: number | undefined;

  private last: number | undefined;

  private updatedAt = 0;

  private beganAt = 0;

  /** The estimate; undefined without contention. */
  get value(): number | undefined {
    return this.capacity;
  }

  /** Sets the estimate aside once the contention has ended. */
  clear(): void {
    this.last = this.capacity;
    this.capacity = undefined;
  }

  /** Updates the estimate from the work placed by each instance and the demand of all. */
  update(
    placed: readonly PlacedWork[],
    demand: { wanted: number; usual: number },
    findsRoom: boolean,
    now: number,
  ): number {
    const total = placed.reduce((sum, each) => sum + each.placed, 0);
    const isNew = this.capacity === undefined;
    const current = isNew ? this.first(total, demand.wanted, now) : this.scaledTo(placed);
    const elapsedMs = isNew ? 0 : now - this.updatedAt;
    const highest = current * (1 + GROWTH_PER_SECOND) ** (elapsedMs / MS_PER_SECOND);
    if (isNew) this.beganAt = now;
    const isBounded = placed.length === 1 && now - this.beganAt > WINDOW_MS;
    const lowest = Math.min(total * (1 + MARGIN), isBounded ? highest : Infinity);
    const changed = findsRoom
      ? highest
      : lowest + (current - lowest) * Math.exp(-elapsedMs / FALL_MS);
    this.capacity = Math.max(changed, demand.usual);
    this.placedBy = new Map(placed.map((each) => [each.id, each.placed]));
    this.updatedAt = now;
    return this.capacity;
  }

  /** The first estimate: that of a contention that has just ended, since one may begin again at once when nothing is cut any more. */
  private first(placed: number, wanted: number, now: number): number {
    const isRecent = now - this.updatedAt <= REMEMBERED_MS;
    return Math.max(placed, isRecent ? (this.last ?? wanted) : wanted);
  }

  /** The estimate for the instances heard now, if others were heard before. */
  private scaledTo(placed: readonly PlacedWork[]): number {
    const before = [...this.placedBy.values()].reduce((sum, each) => sum + each, 0);
    const capacity = this.capacity ?? 0;
    const perPlaced = before > 0 ? capacity / before : 1;
    const ids = new Set(placed.map(({ id }) => id));
    const lost = [...this.placedBy].filter(([id]) => !ids.has(id));
    const found = placed.filter(({ id }) => !this.placedBy.has(id));
    const change =
      found.reduce((sum, each) => sum + each.placed, 0) -
      lost.reduce((sum, [, each]) => sum + each, 0);
    return capacity + change * perPlaced;
  }
}
