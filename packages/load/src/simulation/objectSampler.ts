/** Samples the objects that callers ask for. */
import type { LoadSimulationOptions } from './loadSimulation';

/** Returns a function that samples object indices with the configured skew. */
export const objectSampler = (
  { objectsPerRegion, skew = 0 }: Pick<LoadSimulationOptions, 'objectsPerRegion' | 'skew'>,
  random: () => number,
): (() => number) => {
  const cumulativeWeights: number[] = [];
  for (let i = 0; i < objectsPerRegion; i += 1)
    cumulativeWeights.push((cumulativeWeights[i - 1] ?? 0) + (i + 1) ** -skew);
  const total = cumulativeWeights[objectsPerRegion - 1];
  return (): number => {
    const point = random() * total;
    return cumulativeWeights.findIndex((end) => point < end);
  };
};
