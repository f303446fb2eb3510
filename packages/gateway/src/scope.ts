/** Where a part that answers load is in effect. */
import type { Scope } from '@cardamomladder/settings';

/**
 * Returns true if a part is in effect for a service. With the scope `paced`, that is a
 * service whose targets state their pace: they share their machines with others, so
 * that their slots alone do not tell what they can take.
 */
export const appliesTo = (scope: Scope, statesPace: boolean): boolean =>
  scope === 'all' || (scope === 'paced' && statesPace);

/**
 * Whether targets state their pace. Instances that send them nothing, such as those that
 * directories do not name, learn it from peers.
 */
export class TargetsPace {
  private heard = false;

  private registry: { readonly statesPace: boolean } = { statesPace: false };

  /** True once targets state their pace, to this instance or to a peer. */
  get stated(): boolean {
    return this.heard || this.registry.statesPace;
  }

  /** Records that a peer says so. */
  hear(): void {
    this.heard = true;
  }

  /** Takes what this instance's own targets state into account from now on. */
  observe(registry: { readonly statesPace: boolean }): void {
    this.registry = registry;
  }
}
