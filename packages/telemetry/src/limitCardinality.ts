/** Bounds the cardinality of metric labels, so that the metrics page stays small. */

/** Label value shared by all values beyond the limit. */
export const OTHER_LABEL = 'other';

/** Returns a function that keeps the first `maxValues` distinct values and maps later ones to `OTHER_LABEL`. */
export const limitCardinality = (maxValues: number): ((value: string) => string) => {
  const known = new Set<string>();
  return (value) => {
    if (known.size < maxValues) known.add(value);
    return known.has(value) ? value : OTHER_LABEL;
  };
};
