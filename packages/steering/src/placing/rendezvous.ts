/**
 * Ranks targets for an object by weighted rendezvous hashing. Every instance
 * computes the same ranking from the same targets, so an object's requests
 * meet on one target, which remembers it and works faster; when a target
 * comes or goes, only the objects it ranked first for move.
 */
import murmurhash from 'murmurhash';

/** What ranking needs to know of a candidate. */
export interface Candidate {
  id: string;
  /** Relative capacity, above 0. */
  weight: number;
}

const UINT32 = 4294967296;

/** Position of `id` for `key`: lower comes first; heavier candidates come first more often. */
const position = (key: string, candidate: Candidate): number => {
  const hash = murmurhash.v3(`${key}|${candidate.id}`);
  const uniform = (hash + 0.5) / UINT32;
  return -Math.log(uniform) / candidate.weight;
};

/** The candidates for `key`, best first. */
export const rank = <T extends Candidate>(key: string, candidates: readonly T[]): T[] =>
  candidates
    .map((candidate) => ({ candidate, at: position(key, candidate) }))
    .sort((a, b) => a.at - b.at)
    .map(({ candidate }) => candidate);
