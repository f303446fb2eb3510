/**
 * Decides which targets of a service get no requests because they are slow, and when a
 * probe has to tell whether they still are. No request is spent on that: with many
 * instances, a trial of each target by each of them is as much as all its requests.
 */
import type { TargetId } from '@cardamomladder/types';
import type { TargetState } from '../placement/target';
import { selectEjected } from './ejection';
import type { HeardPace, SlowFinding } from './knownPaces';
import { FINDING_VALID_MS, KnownPaces } from './knownPaces';

/** Age at which a finding is renewed, ms: half of its validity, so that one lost message does not end it. */
const RENEW_AFTER_MS = FINDING_VALID_MS / 2;
/** How long a selection is used, ms: findings change by themselves only as they age. */
const SELECTION_VALID_MS = 20;

/** An ejected target, and the finding that it is slow. */
export interface Ejection extends SlowFinding {
  id: TargetId;
  slots: number;
}

/** A change of the ejected targets. */
export interface EjectionChange {
  event: 'ejected' | 'back';
  ejection: Ejection;
  /** Share of the service's slots that is ejected after the change. */
  share: number;
}

/** The state of the service that decisions depend on. */
export interface ServicePaceOptions {
  /** True while ejection is in effect for the service. */
  enabled: () => boolean;
  /** The service's targets that carry load: without those that are leaving, evacuated or cold. */
  carrying: (now: number) => readonly TargetState[];
  /** The largest share of their slots that may be ejected. */
  maxEjectedShare: () => number;
  /** The pace from which a target is slow (`costRatio`). */
  ratio: (now: number) => number;
  /** Called with each change of the ejected targets. */
  onChange: (change: EjectionChange) => void;
}

/** The ejected targets of one service. */
export class ServicePace {
  private readonly known = new KnownPaces();

  private ejected = new Map<TargetId, Ejection>();

  private selectedAt = -Infinity;

  constructor(private readonly options: ServicePaceOptions) {}

  /** True while ejection is in effect. */
  get enabled(): boolean {
    return this.options.enabled();
  }

  /** The pace from which a target is slow. */
  ratioAt(now: number): number {
    return this.options.ratio(now);
  }

  /** Records the pace that a target stated in a response or to a probe. */
  report(id: TargetId, pace: number | undefined, source: 'response' | 'probe', now: number): void {
    this.known.report(id, pace, source, this.options.ratio(now), now);
    this.selectedAt = -Infinity;
  }

  /** Replaces what peers have stated. */
  hear(statements: readonly HeardPace[]): void {
    this.known.hear(statements);
    this.selectedAt = -Infinity;
  }

  /** Drops what is known of a target that is gone. */
  forget(id: TargetId): void {
    this.known.forget(id);
    this.selectedAt = -Infinity;
  }

  /**
   * Returns how many of a target's slots it has at its current pace. Below the ratio it
   * has all: a request that waits there is still answered sooner than one that makes
   * another target load the object, also in a short slow moment.
   */
  slotsOf({ id, slots }: TargetState, now: number): number {
    const pace = this.options.enabled() ? this.known.paceAt(id, now) : 1;
    return pace >= this.options.ratio(now) ? slots / pace : slots;
  }

  /** Returns what is known of the ejected target; undefined if the target is not ejected. */
  ejectionOf(id: TargetId, now: number): Ejection | undefined {
    this.select(now);
    return this.ejected.get(id);
  }

  /** Returns the targets that this instance itself has found slow, the slowest first. */
  ownFindings(now: number): (SlowFinding & { id: TargetId })[] {
    return [...this.known.suspects()]
      .map((id) => ({ id, ...this.known.ownFinding(id, now) }))
      .filter((each): each is SlowFinding & { id: TargetId } => each.pace !== undefined)
      .sort((a, b) => b.pace - a.pace || (a.id < b.id ? -1 : 1));
  }

  /** True if the target is ejected, and neither this instance nor a peer has heard of it lately. */
  isFindingOld(id: TargetId, now: number): boolean {
    const ejection = this.ejectionOf(id, now);
    return ejection !== undefined && now - ejection.at > RENEW_AFTER_MS;
  }

  /** Number of ejected targets. */
  countAt(now: number): number {
    this.select(now);
    return this.ejected.size;
  }

  private select(now: number): void {
    if (now - this.selectedAt < SELECTION_VALID_MS) return;
    this.selectedAt = now;
    const suspects = this.options.enabled() ? this.known.suspects() : new Set<TargetId>();
    if (suspects.size === 0 && this.ejected.size === 0) return;
    const carrying = this.options.carrying(now);
    const totalSlots = carrying.reduce((sum, { slots }) => sum + slots, 0);
    const ratio = this.options.ratio(now);
    const slow = carrying
      .filter(({ id }) => suspects.has(id))
      .flatMap(({ id, slots }): Ejection[] => {
        const finding = this.known.finding(id, ratio, now);
        return finding ? [{ id, slots, ...finding }] : [];
      });
    const selected = selectEjected(slow, totalSlots * this.options.maxEjectedShare());
    this.replace(new Map(selected.map((each) => [each.id, each])), totalSlots);
  }

  private replace(selected: Map<TargetId, Ejection>, totalSlots: number): void {
    const before = this.ejected;
    this.ejected = selected;
    const slots = [...selected.values()].reduce((sum, each) => sum + each.slots, 0);
    const share = totalSlots > 0 ? slots / totalSlots : 0;
    const notify = (event: EjectionChange['event'], ejection: Ejection) =>
      this.options.onChange({ event, ejection, share });
    selected.forEach((each, id) => before.has(id) || notify('ejected', each));
    before.forEach((each, id) => selected.has(id) || notify('back', each));
  }
}
