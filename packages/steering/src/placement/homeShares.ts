/**
 * Computes which share of the objects of a location (a region, or a failure domain of
 * the local region) each location takes.
 *
 * Objects belong to regions: callers of one region request objects that callers of
 * other regions do not. Serving an object in its home region saves a round trip and a
 * connection between regions. So a location keeps as much as its slots can carry and
 * distributes the rest to locations in proportion to their spare slots. All instances
 * compute the same shares from the registry.
 */

/**
 * How strongly requests are kept in their region: as long as the load stays even
 * (`balanced`), or, for large responses, at some cost in balance (`near`).
 */
export type Locality = 'balanced' | 'near';

/**
 * Utilization up to which a location keeps its own objects, as a multiple of the
 * fleet's mean. `near` may exceed the mean because large responses are a small part of
 * the load.
 */
const MAX_FILL: Record<Locality, number> = { balanced: 1, near: 2 };
/**
 * Minimum share of every location, so that an object has further choices when its home
 * location has none.
 */
const MIN_SHARE = 1e-6;

/** Scales amounts to fractions that sum to 1. */
const normalized = <Location>(amounts: ReadonlyMap<Location, number>): Map<Location, number> => {
  const total = [...amounts.values()].reduce((sum, n) => sum + n, 0);
  return new Map([...amounts].map(([location, n]) => [location, total > 0 ? n / total : 0]));
};

/**
 * Returns the share of the objects of `home` that each location takes. `capacity` is
 * each location's number of slots, `demand` its share of the requests.
 */
export const homeShares = <Location>(
  locality: Locality,
  home: Location,
  capacity: ReadonlyMap<Location, number>,
  demand: ReadonlyMap<Location, number>,
): Map<Location, number> => {
  const capacityShares = normalized(capacity);
  const demandShares = normalized(demand);
  const demandShareOf = (location: Location) => demandShares.get(location) ?? 0;
  const homeDemand = demandShareOf(home);
  const keptShare =
    homeDemand > 0
      ? Math.min(1, ((capacityShares.get(home) ?? 0) * MAX_FILL[locality]) / homeDemand)
      : 1;
  const others = [...capacityShares].filter(([location]) => location !== home);
  const spareOf = ([location, fraction]: [Location, number]) =>
    Math.max(0, fraction - demandShareOf(location));
  const totalSpare = others.reduce((sum, other) => sum + spareOf(other), 0);
  const otherCapacity = others.reduce((sum, [, fraction]) => sum + fraction, 0);
  const shares = new Map<Location, number>([[home, Math.max(MIN_SHARE, keptShare)]]);
  others.forEach((other) => {
    const share = totalSpare > 0 ? spareOf(other) / totalSpare : other[1] / (otherCapacity || 1);
    shares.set(other[0], Math.max(MIN_SHARE, (1 - keptShare) * share));
  });
  return shares;
};
