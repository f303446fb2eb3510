import { CrossRegionSpillover } from '../placement/crossRegionSpillover';

/** Each call of `admit` earns credit, so waiting requests that are tried again and again would shift traffic beyond its limit. */
class NoSpillover extends CrossRegionSpillover {
  override admit(): boolean {
    return false;
  }
}

/** Keeps the tries of waiting requests from counting as traffic that spills over. */
export const NO_SPILLOVER: CrossRegionSpillover = new NoSpillover();
