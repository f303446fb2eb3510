/**
 * This instance's shares of what cold targets tolerate. A share is a hash per
 * instance of the fleet, and is asked for with each request that only cold
 * targets could take: 0.4 ms at 195 instances, 0.7 ms while the code is new to the engine, which a starting fleet has
 * no time for. So shares are kept until the fleet or what is tolerated changes.
 */
import { coldShare } from '@cardamomladder/steering';
import type { InstanceId, TargetId } from '@cardamomladder/types';

interface KnownShare {
  fleet: readonly InstanceId[];
  tolerated: number;
  share: number;
}

/** Remembers shares by target. */
export class ColdShares {
  private readonly known = new Map<TargetId, KnownShare>();

  constructor(
    private readonly self: string,
    private readonly fleet: () => readonly InstanceId[],
  ) {}

  /** Requests per second that this instance may send to a cold target that tolerates `tolerated`. */
  of(target: TargetId, tolerated: number): number {
    const fleet = this.fleet();
    const known = this.known.get(target);
    if (known?.fleet === fleet && known.tolerated === tolerated) return known.share;
    const share = coldShare(target, this.self, fleet, tolerated);
    this.known.set(target, { fleet, tolerated, share });
    return share;
  }

  /** Forgets a target. */
  drop(target: TargetId): void {
    this.known.delete(target);
  }
}
