/**
 * Bounds the memory of all bodies that a process holds in one direction. Whoever holds
 * more than a small body waits while the bound is reached; the oldest holder may exceed
 * it, so that there is always one that gets on and gives back what it holds.
 */

/** Up to this size nobody waits, bytes. */
const SMALL_BYTES = 64 * 1024;

/** What one message holds. */
export interface MemoryHolder {
  /** Counts bytes that have arrived; returns false if nothing more is to be received before `whenRoom`. */
  add: (bytes: number) => boolean;
  /** Calls back once there is room, or the holder is closed. */
  whenRoom: (callback: () => void) => void;
  /** True while it waits for room. */
  isWaiting: () => boolean;
  /** True once it holds nothing more. */
  isClosed: () => boolean;
  /** Gives back all that it holds; it waits no longer. */
  close: () => void;
}

interface Holding {
  bytes: number;
  isClosed: boolean;
  onRoom?: () => void;
}

/** The memory of one direction. */
export class MemoryBudget {
  /** In the order in which they were opened. */
  private readonly holdings = new Set<Holding>();

  private held = 0;

  constructor(private readonly maxBytes: number) {}

  /** Number of bytes that are held. */
  get heldBytes(): number {
    return this.held;
  }

  open(): MemoryHolder {
    const holding: Holding = { bytes: 0, isClosed: false };
    return {
      add: (bytes) => {
        if (holding.isClosed) return true;
        holding.bytes += bytes;
        this.held += bytes;
        this.holdings.add(holding);
        return this.mayGrow(holding);
      },
      whenRoom: (callback) => {
        holding.onRoom = callback;
      },
      isWaiting: () => holding.onRoom !== undefined,
      isClosed: () => holding.isClosed,
      close: () => this.close(holding),
    };
  }

  private close(holding: Holding): void {
    if (holding.isClosed) return;
    this.held -= holding.bytes;
    this.holdings.delete(holding);
    const { onRoom } = holding;
    Object.assign(holding, { bytes: 0, isClosed: true, onRoom: undefined });
    onRoom?.();
    this.wake();
  }

  private mayGrow(holding: Holding): boolean {
    const [oldest] = this.holdings;
    return holding === oldest || holding.bytes <= SMALL_BYTES || this.held <= this.maxBytes;
  }

  /** Lets the oldest of those that wait go on, as many as there is room for. */
  private wake(): void {
    const [oldest] = this.holdings;
    let room = this.maxBytes - this.held;
    [...this.holdings]
      .filter(({ onRoom }) => onRoom !== undefined)
      .forEach((holding) => {
        if (room <= 0 && holding !== oldest) return;
        room -= SMALL_BYTES;
        const { onRoom } = holding;
        Object.assign(holding, { onRoom: undefined });
        onRoom?.();
      });
  }
}
