/**
 * Determines which requests crash targets, as opposed to those that were merely in
 * flight at the crashes.
 *
 * A target works on a dozen requests when it crashes, and at most one of them is the
 * cause. Counting crashes alone would also blame a lookup that its caller repeats
 * while targets crash every few hundred ms under another request. So the suspect in
 * flight at most crashes is assumed to explain all of them, and the others are judged
 * by the remaining crashes.
 *
 * Each request is suspected twice: for one caller, and for any caller. A request that
 * crashes targets may come from one caller after another, or from one caller with
 * changing addresses; and a request that crashes targets for one caller may be
 * harmless for the others.
 */
import type { IssuedRequest, Brand, RequestDigest } from '@cardamomladder/types';

/**
 * Minimum number of crashes for a suspect to be considered their cause. Fewer would
 * blame a request that was repeated once and met two unrelated crashes; each
 * additional one costs a target although the cause has been seen often enough.
 */
export const MIN_CRASHES_PER_CAUSE = 3;
/**
 * The same if several suspects were in flight at the same crashes: one more crash
 * tells them apart.
 */
const MIN_CRASHES_PER_TIED_CAUSE = MIN_CRASHES_PER_CAUSE + 1;

/**
 * Number of crashes from which a suspect is blamed even if another suspect was in
 * flight too. Two requests that crash targets may be in flight at the same crashes;
 * the crashes of one would then explain those of the other, which would continue.
 */
const UNCONDITIONAL_CAUSE_CRASHES = 5;

/** A request as a possible cause of crashes. */
export type Suspect = Brand<string, 'Suspect'>;

/** Returns the suspect for a request from any caller. */
export const anyCallerSuspect = (request: RequestDigest): Suspect => request as string as Suspect;
/** Returns the suspect for a request from one caller. */
export const callerSuspect = ({ request, caller }: IssuedRequest): Suspect =>
  `${request}/${caller}` as Suspect;
/** Returns the any-caller suspect of a suspect's request. */
const withoutCaller = (suspect: Suspect): Suspect => suspect.split('/')[0] as Suspect;

/** A crash, as the set of suspects that were in flight. */
export type SuspectedCrash = ReadonlySet<Suspect>;

/** The result of attributing crashes. */
export interface Attribution {
  /** Suspects with enough crashes to be a cause, some of which another suspect may explain. */
  suspected: ReadonlySet<Suspect>;
  /** Suspects considered to crash targets, because nothing else explains their crashes. */
  causes: ReadonlySet<Suspect>;
  /** Number of crashes at which each suspect was in flight. */
  crashes: ReadonlyMap<Suspect, number>;
}

const countOf = (crashes: readonly SuspectedCrash[]): Map<Suspect, number> => {
  const counts = new Map<Suspect, number>();
  crashes.forEach((suspects) =>
    suspects.forEach((suspect) => counts.set(suspect, (counts.get(suspect) ?? 0) + 1)),
  );
  return counts;
};

/**
 * For a request that only one caller made, keeps only that caller's suspect: nothing
 * indicates that it does harm for other callers.
 */
const preferCallerSpecific = (
  suspects: readonly Suspect[],
  counts: ReadonlyMap<Suspect, number>,
): Suspect[] => {
  const singleCallerRequests = new Set(
    suspects
      .filter((suspect) => withoutCaller(suspect) !== suspect)
      .filter((suspect) => counts.get(suspect) === counts.get(withoutCaller(suspect)))
      .map(withoutCaller),
  );
  return suspects.filter((suspect) => !singleCallerRequests.has(suspect));
};

/** Returns the suspects with at least `minCount` crashes. */
const suspectsWithAtLeast = (minCount: number, counts: ReadonlyMap<Suspect, number>): Suspect[] =>
  preferCallerSpecific(
    [...counts].filter(([, count]) => count >= minCount).map(([suspect]) => suspect),
    counts,
  );

/**
 * Of suspects that were in flight equally often, returns those with a crash at which
 * none of the others was in flight: nothing else explains that crash.
 */
const withExclusiveCrash = (
  leaders: readonly Suspect[],
  crashes: readonly SuspectedCrash[],
): Suspect[] => {
  const alone = crashes
    .map((suspects) => leaders.filter((leader) => suspects.has(leader)))
    .filter((present) => present.length === 1);
  return [...new Set(alone.flat())];
};

/** Returns the suspects to blame next: those that were in flight at most crashes. */
const nextCauses = (crashes: readonly SuspectedCrash[]): Suspect[] => {
  const counts = countOf(crashes);
  const maxCount = Math.max(0, ...counts.values());
  if (maxCount < MIN_CRASHES_PER_CAUSE) return [];
  const leaders = suspectsWithAtLeast(maxCount, counts);
  const distinct = withExclusiveCrash(leaders, crashes);
  return distinct.length > 0 || maxCount < MIN_CRASHES_PER_TIED_CAUSE ? distinct : leaders;
};

const excludeExplained = (
  crashes: readonly SuspectedCrash[],
  causes: readonly Suspect[],
): SuspectedCrash[] => crashes.filter((suspects) => !causes.some((cause) => suspects.has(cause)));

/**
 * Attributes crashes to requests. The result does not depend on the order of the
 * crashes, so all instances agree.
 */
export const attributeCrashes = (crashes: readonly SuspectedCrash[]): Attribution => {
  const counts = countOf(crashes);
  const unconditional = suspectsWithAtLeast(UNCONDITIONAL_CAUSE_CRASHES, counts);
  const causes = new Set(unconditional);
  let unexplained = excludeExplained(crashes, unconditional);
  let next = nextCauses(unexplained);
  while (next.length > 0) {
    next.forEach((suspect) => causes.add(suspect));
    unexplained = excludeExplained(unexplained, next);
    next = nextCauses(unexplained);
  }
  return {
    suspected: new Set(suspectsWithAtLeast(MIN_CRASHES_PER_CAUSE, counts)),
    causes,
    crashes: counts,
  };
};
