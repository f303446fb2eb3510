/**
 * The order in which waiting requests get the next free slot. The load it answers: for
 * seconds more is asked than the targets take, and chance decides who is refused twice.
 *
 * A caller that returns as told goes first, as its next refusal is likely its last try.
 * The others, and those that return among themselves, are ordered by a due time that is
 * fixed once: the first attempt's arrival, a second for each level of priority, and the
 * time left within the objective, up to one level. So priority decides between requests
 * of the same time, and who has waited a second longer counts as one level higher:
 * nobody is overtaken by those that ask more than `MAX_PRIORITY_LEVELS + 1` seconds
 * later.
 */

/** Levels of priority that are told apart; lower priorities are equal. */
const MAX_PRIORITY_LEVELS = 4;
/** Waiting time that counts as much as one level of priority, ms. */
const LEVEL_MS = 1000;

/** What decides the place of a request in the order. Times on the monotonic clock, ms. */
export interface OrderedRequest {
  /** 0 is the highest. */
  priority: number;
  /** When its caller first asked, in an earlier attempt if that is known. */
  firstAskedAt: number;
  /** The latency objective of its route. */
  objectiveMs: number;
  /** True if its caller was refused here and returns when it was told to. */
  returned: boolean;
}

/** The longest time by which a request may be overtaken by later ones, ms. */
export const MAX_OVERTAKING_MS = (MAX_PRIORITY_LEVELS + 1) * LEVEL_MS;

const dueAt = ({ priority, firstAskedAt, objectiveMs }: OrderedRequest): number =>
  firstAskedAt +
  LEVEL_MS * Math.min(MAX_PRIORITY_LEVELS, Math.max(0, priority)) +
  Math.min(LEVEL_MS, objectiveMs);

/** Returns true if `a` gets the next free slot before `b`. */
export const goesBefore = (a: OrderedRequest, b: OrderedRequest): boolean =>
  a.returned === b.returned ? dueAt(a) < dueAt(b) : a.returned;
