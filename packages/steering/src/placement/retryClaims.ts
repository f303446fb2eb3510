/**
 * Divides the fixed number of repeats that the bound allows the whole fleet per window.
 * The number is split into slots that the store keeps for each service. An instance
 * claims slots before it spends their repeats, on condition that nobody else has claimed
 * them since. A slot can be claimed again when the repeats of its last claim lie a whole
 * window back, so no window holds more than the fixed number, however often instances
 * are killed, lose the store or disagree on the size of the fleet.
 *
 * The store also keeps each instance's note that it spends repeats which were earned
 * earlier in the window. A process that starts finds the note of its earlier life, and
 * earns nothing until those repeats lie a window back. Until it has read the notes, it
 * assumes the worst.
 *
 * This class decides; the caller reads and writes the store.
 */
import type { ClaimableSlot, SlotClaim } from '@cardamomladder/types';
import type { RepeatBound } from './retryBudget';

/** What to do next: read the service's claims, claim slots, or note that earlier repeats are spent. */
export type ClaimStep = { kind: 'read' } | { kind: 'claim' | 'note'; slots: ClaimableSlot[] };

/** The repeats that an instance looks for. */
export interface WantedRepeats {
  count: number;
  /** Repeats that were earned earlier would serve. */
  earlier: boolean;
}

/** Monotonic time and time of day, ms. */
export interface ClaimClock {
  monotonic: number;
  unix: number;
}

/** How long claimed repeats may be spent, ms. */
export const CLAIM_VALID_MS = 2000;
/** How long repeats that were earned earlier may be spent after a note, ms. */
export const NOTE_VALID_MS = 4000;
/** Fraction of the fixed number that can be claimed; the rest covers what is sent before a window and arrives in it. */
const CLAIMED_FRACTION = 0.92;
/** Maximum number of slots that the fixed number is split into; a slot of one repeat wastes none. */
const MAX_SLOTS = 64;
/** Maximum number of slots in one claim: a transaction of the store holds few conditions and writes. */
const MAX_SLOTS_PER_CLAIM = 16;
/** Claims older than this by their time of day are void, ms: clocks differ by seconds. */
const VOID_AFTER_MS = 60_000;
/** A read of the claims may be used for this long, ms. */
const READ_VALID_MS = 500;
/** Pause after the store did not answer, ms; it doubles up to the maximum. */
const UNAVAILABLE_PAUSE_MS = 1000;
const MAX_UNAVAILABLE_PAUSE_MS = 5000;
/** Pause after losing two claims in a row to other instances, ms. */
const CONFLICT_PAUSE_MS = 500;
/** Instances that found no free slot return spread over this time per instance, ms. */
const SPREAD_PER_INSTANCE_MS = 10;

interface KnownClaim {
  revision: number;
  /** When this instance first saw the claim, ms. */
  seenAt: number;
}

/** One service's claims, as this instance knows them. */
export class RetryClaims {
  /** Repeats per slot. */
  readonly repeatsPerSlot: number;

  private readonly slotCount: number;

  private known = new Map<string, KnownClaim>();

  /** Revision of this instance's note; undefined before the first read. */
  private noteRevision: number | undefined;

  /** Earned repeats may be spent from then on, ms. */
  earnedFrom: number;

  private readAt = -Infinity;

  private pausedUntil = -Infinity;

  private noneFreeUntil = -Infinity;

  private hasRead = false;

  private unavailablePauseMs = UNAVAILABLE_PAUSE_MS;

  private conflicts = 0;

  constructor(
    private readonly bound: RepeatBound,
    private readonly random: () => number,
    /** Number of instances; only to spread their calls and to claim ahead. */
    private readonly fleetSize: () => number,
    /** Name of this instance's note; the same for all lives of an instance. */
    private readonly noteName: string,
    startedAt: number,
  ) {
    this.earnedFrom = startedAt + this.forgottenAfterMs;
    const repeats = CLAIMED_FRACTION * bound.extra;
    this.repeatsPerSlot = Math.max(1, Math.ceil(repeats / MAX_SLOTS));
    this.slotCount = Math.floor(repeats / this.repeatsPerSlot);
  }

  /** Returns the next step towards `wanted` repeats; undefined if none is worthwhile now. */
  next({ count, earlier }: WantedRepeats, now: number): ClaimStep | undefined {
    if (now < this.pausedUntil) return undefined;
    if (this.noteRevision === undefined) return { kind: 'read' };
    if (earlier)
      return { kind: 'note', slots: [{ slot: this.noteName, revision: this.noteRevision }] };
    if (this.slotCount === 0 || now < this.noneFreeUntil) return undefined;
    if (now - this.readAt > READ_VALID_MS) return { kind: 'read' };
    const free = this.freeSlots(now);
    if (free.length === 0) {
      this.pauseUntilFree(now);
      return undefined;
    }
    const wantedSlots = Math.ceil(count / this.repeatsPerSlot);
    const evenShare = Math.floor(this.slotCount / this.fleetSize());
    const slotsToClaim = Math.min(
      Math.max(wantedSlots, evenShare),
      MAX_SLOTS_PER_CLAIM,
      Math.ceil(free.length / 2),
    );
    return { kind: 'claim', slots: this.drawFrom(free, slotsToClaim) };
  }

  /** Records the claims that a read returned. */
  recordRead(claims: readonly SlotClaim[], { monotonic, unix }: ClaimClock): void {
    const previous = this.known;
    this.known = new Map();
    if (!this.hasRead) this.applyNote(claims, { monotonic, unix });
    this.hasRead = true;
    this.noteRevision = claims.find(({ slot }) => slot === this.noteName)?.revision ?? 0;
    claims.forEach(({ slot, revision, claimedAt }) => {
      const seen = previous.get(slot);
      const seenAt = seen?.revision === revision ? seen.seenAt : monotonic;
      const isVoid = unix - claimedAt > VOID_AFTER_MS;
      this.known.set(slot, { revision, seenAt: isVoid ? -Infinity : seenAt });
    });
    this.readAt = monotonic;
    this.unavailablePauseMs = UNAVAILABLE_PAUSE_MS;
  }

  /** Records that the slots were claimed by this instance, at the store revision of the write. */
  recordClaimed(slots: readonly ClaimableSlot[], revision: number, now: number): void {
    slots.forEach(({ slot }) => this.known.set(slot, { revision, seenAt: now }));
    this.conflicts = 0;
    this.unavailablePauseMs = UNAVAILABLE_PAUSE_MS;
  }

  /** Records that this instance's note was written. */
  recordNoted(revision: number): void {
    this.noteRevision = revision;
  }

  /** Records that a claim or note was written by another instance or life since the last read. */
  recordConflict(now: number): void {
    this.readAt = -Infinity;
    this.noteRevision = undefined;
    this.conflicts += 1;
    if (this.conflicts < 2) return;
    this.conflicts = 0;
    this.pausedUntil = now + this.random() * CONFLICT_PAUSE_MS;
  }

  /** Records that the store did not answer; whether a claim was written is unknown. */
  recordUnavailable(now: number): void {
    this.readAt = -Infinity;
    this.pausedUntil = now + this.unavailablePauseMs;
    this.unavailablePauseMs = Math.min(MAX_UNAVAILABLE_PAUSE_MS, this.unavailablePauseMs * 2);
  }

  /** Makes all slots wait for a whole window, as claims may have been lost with the store's history. */
  recordLostHistory(now: number): void {
    this.readAt = -Infinity;
    this.noneFreeUntil = now + this.reclaimAfterMs;
  }

  private get reclaimAfterMs(): number {
    return this.bound.windowMs + CLAIM_VALID_MS;
  }

  /** How long after its start a process needs not know what its earlier life spent, ms. */
  private get forgottenAfterMs(): number {
    return this.bound.windowMs + NOTE_VALID_MS;
  }

  /** Withholds earned repeats while those of the earlier life's note lie within the window. */
  private applyNote(claims: readonly SlotClaim[], { monotonic, unix }: ClaimClock): void {
    const note = claims.find(({ slot }) => slot === this.noteName);
    const ageMs = note ? Math.max(0, unix - note.claimedAt) : Infinity;
    const from = monotonic + Math.max(0, this.forgottenAfterMs - ageMs);
    this.earnedFrom = Math.min(this.earnedFrom, from);
  }

  private get spreadMs(): number {
    return this.fleetSize() * SPREAD_PER_INSTANCE_MS;
  }

  private freeSlots(now: number): ClaimableSlot[] {
    return Array.from({ length: this.slotCount }, (_, i) => {
      const slot = String(i);
      const { revision, seenAt } = this.known.get(slot) ?? { revision: 0, seenAt: -Infinity };
      return { slot, revision, isFree: now - seenAt >= this.reclaimAfterMs };
    })
      .filter(({ isFree }) => isFree)
      .map(({ slot, revision }) => ({ slot, revision }));
  }

  private drawFrom(free: ClaimableSlot[], count: number): ClaimableSlot[] {
    const start = Math.floor(this.random() * free.length);
    return Array.from({ length: count }, (_, i) => free[(start + i) % free.length]);
  }

  private pauseUntilFree(now: number): void {
    const seenAt = Array.from(
      { length: this.slotCount },
      (_, i) => this.known.get(String(i))?.seenAt ?? now,
    );
    const freeAt = Math.min(...seenAt) + this.reclaimAfterMs;
    this.noneFreeUntil = Math.max(now, freeAt) + this.random() * this.spreadMs;
  }
}
