/**
 * Lets work on requests begin only when what has arrived from callers is known. A late
 * process finds a request and its caller's close in the kernel together, but Node.js
 * reads them in two turns of the event loop, and accepts one connection in each. So
 * requests wait for a turn that has read all connections, and work is done in slices,
 * between which connections are accepted and read.
 */

/** Time after which the rest of the work waits for another turn, ms. */
const WORK_SLICE_MS = 10;
/** Maximum time for which connections are accepted and read between two slices of work, ms. */
const MAX_ACCEPT_MS = 10;
/** Duration of a turn after which connections are read once more before work begins, ms: half of the time within which a close must be heeded. */
const LATE_TURN_MS = 250;

/** Dependencies of the barrier. */
export interface ReadBarrierOptions {
  /** Monotonic clock, ms. */
  now: () => number;
  /** True if the last turn accepted a connection, so that further ones may wait. */
  mayAcceptMore: () => boolean;
}

interface Waiter {
  /** The turn in which the work arrived. */
  turn: number;
  begin: () => void;
}

/** Counts the turns of the event loop, and lets work begin in order of arrival. */
export class ReadBarrier {
  private readonly waiters: Waiter[] = [];

  /** Number of turns whose connections have all been read. */
  private turn = 0;

  private isArmed = false;

  /** True if the current turn directly follows the last one that was counted. */
  private isConsecutive = false;

  private isWorking = false;

  private turnEndedAt = -Infinity;

  private sliceSince = 0;

  /** Since when work is put off as connections are accepted. */
  private acceptingSince: number | undefined;

  private wasLate = false;

  constructor(private readonly options: ReadBarrierOptions) {}

  /** True while work may begin at once, as all connections have just been read. */
  get isRecent(): boolean {
    return this.isWorking && !this.isSliceUsedUp();
  }

  /** Resolves when everything that had arrived at the time of the call has been read. */
  passed(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.push({ turn: this.turn, begin: resolve });
      this.arm();
    });
  }

  private arm(isConsecutive = false): void {
    if (this.isArmed) return;
    this.isArmed = true;
    this.isConsecutive = isConsecutive;
    setImmediate(this.endTurn);
  }

  private isSliceUsedUp(): boolean {
    return this.options.now() - this.sliceSince >= WORK_SLICE_MS;
  }

  /** Runs after the connections that were ready have been read. */
  private readonly endTurn = (): void => {
    const now = this.options.now();
    const isLate = this.isConsecutive && now - this.turnEndedAt > LATE_TURN_MS;
    this.isArmed = false;
    this.turn += 1;
    this.turnEndedAt = now;
    // Work is put off once at most, so that a process whose turns are all late goes on.
    const putOff = (isLate && !this.wasLate) || this.isAccepting(now);
    this.wasLate = isLate;
    this.sliceSince = now;
    if (putOff) this.arm(true);
    else this.work();
  };

  private isAccepting(now: number): boolean {
    if (!this.options.mayAcceptMore()) {
      this.acceptingSince = undefined;
      return false;
    }
    this.acceptingSince ??= now;
    if (now - this.acceptingSince < MAX_ACCEPT_MS) return true;
    this.acceptingSince = undefined;
    return false;
  }

  /** Begins the next work, and after all that it does at once, the one behind it. */
  private readonly work = (): void => {
    const [next] = this.waiters;
    // What arrived in this turn may have been read before its caller's close.
    this.isWorking = next !== undefined && next.turn < this.turn - 1 && !this.isSliceUsedUp();
    if (this.isWorking) {
      this.waiters.shift();
      next.begin();
      queueMicrotask(() => process.nextTick(this.work));
    } else if (next !== undefined) this.arm(true);
  };
}
