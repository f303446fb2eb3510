/**
 * A target in virtual time: slots, a queue, and a memory of the objects it
 * handled lately, on which it works several times faster.
 */
import type { EventQueue } from './eventQueue';

/** What a played target is like. */
export interface PlayedTargetOptions {
  slots: number;
  queue: number;
  /** Work on an object it does not remember, ms. */
  workMs: number;
  /** Part of the work that is saved on an object it remembers. */
  warmGain: number;
  /** Objects it remembers. */
  remembers: number;
}

/** Its report of running and waiting requests. */
export interface PlayedLoad {
  running: number;
  waiting: number;
}

interface WaitingRun {
  object: string;
  done: (ran: boolean) => void;
}

/** One target. */
export class PlayedTarget {
  /** Slower by this factor while it is slow. */
  slowness = 1;

  /** Slots that it works with now; fewer than it has while it is in need. */
  openSlots: number;

  /** Requests per second that it names as its limit, while it is in need. */
  limitPerSecond: number | undefined;

  /** Turns all requests away while this is set, and wants none from the instance for so long, ms. */
  pauseMs: number | undefined;

  private running = 0;

  private readonly waiting: WaitingRun[] = [];

  private readonly memory = new Map<string, true>();

  constructor(
    private readonly options: PlayedTargetOptions,
    private readonly events: EventQueue,
    private readonly random: () => number,
  ) {
    this.openSlots = options.slots;
  }

  /** Takes a request; `done(false)` at once when it is full. */
  take(object: string, done: (ran: boolean) => void): void {
    if (this.pauseMs !== undefined) done(false);
    else if (this.running < this.openSlots) this.run({ object, done });
    else if (this.waiting.length < this.options.queue) this.waiting.push({ object, done });
    else done(false);
  }

  /** What it reports of its load. */
  load(): PlayedLoad {
    return { running: this.running, waiting: this.waiting.length };
  }

  private run(request: WaitingRun): void {
    this.running += 1;
    const { workMs, warmGain } = this.options;
    const warm = this.memory.has(request.object) ? 1 - warmGain : 1;
    const spread = 0.85 + 0.3 * this.random();
    // Requests that come while the first one loads the object find it there.
    this.remember(request.object);
    this.events.after(workMs * warm * spread * this.slowness, () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next) this.run(next);
      request.done(true);
    });
  }

  private remember(object: string): void {
    this.memory.delete(object);
    this.memory.set(object, true);
    if (this.memory.size > this.options.remembers) {
      const [oldest] = this.memory.keys();
      this.memory.delete(oldest);
    }
  }
}
