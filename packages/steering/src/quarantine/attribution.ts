/**
 * Which requests crash targets, told from which were under way at the crashes.
 *
 * A target works on a dozen requests when it crashes, and one of them is the
 * cause at most. Counting crashes alone blames the others too: while targets
 * crash every few hundred ms, a lookup that is repeated by its caller meets
 * three crashes within its time. So the request that was there at most crashes
 * is taken to explain all of these, and the others are judged by the crashes
 * that are left.
 */
import type { RequestDigest } from '@cardamomladder/types';

/**
 * Crashes from which a request counts as their cause. Fewer would blame a
 * request that was repeated once and met two crashes of other causes; each one
 * more costs a target of a cause that has been seen often enough.
 */
export const CRASHES_OF_A_CAUSE = 3;
/** The same where several requests were there at the same crashes: one crash more tells them apart. */
const CRASHES_OF_ONE_OF_SEVERAL = CRASHES_OF_A_CAUSE + 1;

/** A crash by the requests that were under way. */
export type SuspectedRequests = ReadonlySet<RequestDigest>;

/** What the crashes say. */
export interface Attribution {
  /** Requests that crash their targets. */
  causes: ReadonlySet<RequestDigest>;
  /** Other requests, by the number of crashes without a known cause at which they were under way. */
  suspects: ReadonlyMap<RequestDigest, number>;
}

const countOf = (crashes: readonly SuspectedRequests[]): Map<RequestDigest, number> => {
  const counts = new Map<RequestDigest, number>();
  crashes.forEach((requests) =>
    requests.forEach((request) => counts.set(request, (counts.get(request) ?? 0) + 1)),
  );
  return counts;
};

/** The crashes at which each request was under way, with those of the others that were there too. */
const meetingsOf = (
  request: RequestDigest,
  others: readonly RequestDigest[],
  crashes: readonly SuspectedRequests[],
): RequestDigest[][] =>
  crashes
    .filter((requests) => requests.has(request))
    .map((requests) => others.filter((other) => other !== request && requests.has(other)));

/**
 * Of requests that were there equally often, those that stand out: at some
 * crash none of the others was there, and each of the others that they met
 * had company at all of its crashes.
 */
const standingOut = (
  leaders: readonly RequestDigest[],
  crashes: readonly SuspectedRequests[],
): RequestDigest[] => {
  const meetings = new Map(
    leaders.map((request) => [request, meetingsOf(request, leaders, crashes)]),
  );
  const wasAlone = (request: RequestDigest) =>
    meetings.get(request)?.some((others) => others.length === 0) ?? false;
  return leaders.filter(
    (request) => wasAlone(request) && !meetings.get(request)?.flat().some(wasAlone),
  );
};

/** The requests to blame next: those that were there at most crashes. */
const nextCauses = (
  crashes: readonly SuspectedRequests[],
  counts: ReadonlyMap<RequestDigest, number>,
): RequestDigest[] => {
  const most = Math.max(0, ...counts.values());
  if (most < CRASHES_OF_A_CAUSE) return [];
  const leaders = [...counts].filter(([, count]) => count === most).map(([request]) => request);
  const clear = standingOut(leaders, crashes);
  return clear.length > 0 || most < CRASHES_OF_ONE_OF_SEVERAL ? clear : leaders;
};

const without = (
  crashes: readonly SuspectedRequests[],
  causes: readonly RequestDigest[],
): SuspectedRequests[] =>
  crashes.filter((requests) => !causes.some((request) => requests.has(request)));

/** Attributes crashes to requests; the order of the crashes does not matter, so all instances agree. */
export const attributeCrashes = (crashes: readonly SuspectedRequests[]): Attribution => {
  const causes = new Set<RequestDigest>();
  let unexplained = crashes;
  let suspects = countOf(unexplained);
  let next = nextCauses(unexplained, suspects);
  while (next.length > 0) {
    next.forEach((request) => causes.add(request));
    unexplained = without(unexplained, next);
    suspects = countOf(unexplained);
    next = nextCauses(unexplained, suspects);
  }
  return { causes, suspects };
};
