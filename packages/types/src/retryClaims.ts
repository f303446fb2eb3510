/**
 * A claim in the store: of one slot of the repeats that all instances share, or an
 * instance's note that it spends what earlier requests have earned.
 */
export interface SlotClaim {
  /** Name of the slot. */
  slot: string;
  /** Store revision of the claim. */
  revision: number;
  /** When it was claimed, by the clock of the claiming instance (Unix time, ms). */
  claimedAt: number;
}

/** A slot to claim if its revision is still `revision`; 0 if it was never claimed. */
export type ClaimableSlot = Pick<SlotClaim, 'slot' | 'revision'>;
