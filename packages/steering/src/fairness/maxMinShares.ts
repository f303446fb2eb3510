/** Weighted max-min shares: a capacity divided so that no claim gains but from one that has more for its weight. */

/** What one claimant wants, and the weight of its part. */
export interface Claim {
  wanted: number;
  weight: number;
}

/** Weight of claims that have none, so that they are served last and not never. */
const MIN_WEIGHT = 1e-9;

/**
 * Divides `capacity` among claims (water filling). A claim that wants less than its
 * weighted part gets all of it, and what it leaves goes to the others.
 */
export const maxMinShares = (claims: readonly Claim[], capacity: number): number[] => {
  const weightOf = (index: number) => Math.max(MIN_WEIGHT, claims[index].weight);
  const wantedPerWeight = (index: number) => claims[index].wanted / weightOf(index);
  const order = claims.map((_, i) => i).sort((a, b) => wantedPerWeight(a) - wantedPerWeight(b));
  const shares = claims.map(() => 0);
  let left = Math.max(0, capacity);
  let weightLeft = order.reduce((sum, i) => sum + weightOf(i), 0);
  order.forEach((index, position) => {
    const isLast = position === order.length - 1;
    const part = isLast ? left : Math.min(left, (left * weightOf(index)) / weightLeft);
    shares[index] = Math.min(Math.max(0, claims[index].wanted), part);
    left -= shares[index];
    weightLeft -= weightOf(index);
  });
  return shares;
};
