/** A claim of one slot of the repeats that all instances share, as the store has it. */
export interface SlotClaim {
  slot: number;
  /** Store revision of the claim. */
  revision: number;
  /** When it was claimed, by the clock of the claiming instance (Unix time, ms). */
  claimedAt: number;
}

/** A slot to claim if its revision is still `revision`; 0 if it was never claimed. */
export type ClaimableSlot = Pick<SlotClaim, 'slot' | 'revision'>;
