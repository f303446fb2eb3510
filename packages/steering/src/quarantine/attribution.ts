/**
 * Which requests crash targets, told from those that were merely under way at
 * the crashes.
 *
 * A target works on a dozen requests when it crashes, and one of them is the
 * cause at most. Counting crashes alone blames the others too: while targets
 * crash every few hundred ms, a lookup that its caller repeats meets three
 * crashes within its time. So the suspect that was there at most crashes is
 * taken to explain all of these, and the others are judged by the crashes
 * that are left.
 *
 * Each request is suspected twice: as one caller asked it, and as anybody may.
 * A request that crashes targets may come from one caller after another, or
 * from one caller at changing addresses; and what crashes targets for one
 * caller may be harmless for the others.
 */
import type { AskedRequest, Brand, RequestDigest } from '@cardamomladder/types';

/**
 * Crashes from which a suspect counts as their cause. Fewer would blame a
 * request that was repeated once and met two crashes of other causes; each one
 * more costs a target of a cause that has been seen often enough.
 */
export const CRASHES_OF_A_CAUSE = 3;
/** The same where several suspects were there at the same crashes: one crash more tells them apart. */
const CRASHES_OF_ONE_OF_SEVERAL = CRASHES_OF_A_CAUSE + 1;

/** A request as a possible cause of crashes. */
export type Suspect = Brand<string, 'Suspect'>;

/** A request, whoever asks it. */
export const askedByAnyone = (request: RequestDigest): Suspect => request as string as Suspect;
/** A request as one caller asks it. */
export const askedByOne = ({ request, caller }: AskedRequest): Suspect =>
  `${request}/${caller}` as Suspect;
/** The request of a suspect, whoever asks it. */
const widened = (suspect: Suspect): Suspect => suspect.split('/')[0] as Suspect;

/** A crash by the suspects that were under way. */
export type SuspectedCrash = ReadonlySet<Suspect>;

/** What the crashes say. */
export interface Attribution {
  /** Suspects that crash their targets. */
  causes: ReadonlySet<Suspect>;
  /** Other suspects, by the number of crashes without a known cause at which they were under way. */
  suspects: ReadonlyMap<Suspect, number>;
}

const countOf = (crashes: readonly SuspectedCrash[]): Map<Suspect, number> => {
  const counts = new Map<Suspect, number>();
  crashes.forEach((suspects) =>
    suspects.forEach((suspect) => counts.set(suspect, (counts.get(suspect) ?? 0) + 1)),
  );
  return counts;
};

/** Of a request that only one caller asked, that caller's alone: there is no sign that it harms when others ask it. */
const narrowed = (leaders: readonly Suspect[]): Suspect[] => {
  const wide = new Set(leaders.filter((suspect) => widened(suspect) !== suspect).map(widened));
  return leaders.filter((suspect) => !wide.has(suspect));
};

/** The crashes at which a suspect was under way, each by the other leaders that were there too. */
const meetingsOf = (
  suspect: Suspect,
  leaders: readonly Suspect[],
  crashes: readonly SuspectedCrash[],
): Suspect[][] =>
  crashes
    .filter((suspects) => suspects.has(suspect))
    .map((suspects) => leaders.filter((other) => other !== suspect && suspects.has(other)));

/**
 * Of suspects that were there equally often, those that stand out: at some
 * crash none of the others was there, and each of the others that they met
 * had company at all of its crashes.
 */
const standingOut = (
  leaders: readonly Suspect[],
  crashes: readonly SuspectedCrash[],
): Suspect[] => {
  const meetings = new Map(
    leaders.map((suspect) => [suspect, meetingsOf(suspect, leaders, crashes)]),
  );
  const wasAlone = (suspect: Suspect) =>
    meetings.get(suspect)?.some((others) => others.length === 0) ?? false;
  return leaders.filter(
    (suspect) => wasAlone(suspect) && !meetings.get(suspect)?.flat().some(wasAlone),
  );
};

/** The suspects to blame next: those that were there at most crashes. */
const nextCauses = (
  crashes: readonly SuspectedCrash[],
  counts: ReadonlyMap<Suspect, number>,
): Suspect[] => {
  const most = Math.max(0, ...counts.values());
  if (most < CRASHES_OF_A_CAUSE) return [];
  const leaders = narrowed(
    [...counts].filter(([, count]) => count === most).map(([suspect]) => suspect),
  );
  const clear = standingOut(leaders, crashes);
  return clear.length > 0 || most < CRASHES_OF_ONE_OF_SEVERAL ? clear : leaders;
};

const without = (
  crashes: readonly SuspectedCrash[],
  causes: readonly Suspect[],
): SuspectedCrash[] => crashes.filter((suspects) => !causes.some((cause) => suspects.has(cause)));

/** Attributes crashes to requests; the order of the crashes does not matter, so all instances agree. */
export const attributeCrashes = (crashes: readonly SuspectedCrash[]): Attribution => {
  const causes = new Set<Suspect>();
  let unexplained = crashes;
  let suspects = countOf(unexplained);
  let next = nextCauses(unexplained, suspects);
  while (next.length > 0) {
    next.forEach((suspect) => causes.add(suspect));
    unexplained = without(unexplained, next);
    suspects = countOf(unexplained);
    next = nextCauses(unexplained, suspects);
  }
  return { causes, suspects };
};
