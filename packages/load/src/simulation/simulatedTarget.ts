/**
 * A simulated target with slots, a queue, and an LRU cache of recently used
 * objects, which it processes several times faster.
 */
import type { EventQueue } from './eventQueue';

/** Capacity and speed of a simulated target. */
export interface SimulatedTargetOptions {
  slots: number;
  queueCapacity: number;
  /** Service time for an object that is not cached, ms. */
  serviceTimeMs: number;
  /** Fraction of the service time saved for a cached object. */
  cacheSavings: number;
  /** Maximum number of cached objects. */
  cacheCapacity: number;
  /** If true, load reports state the slowdown as the pace. */
  statesPace?: boolean;
}

/** Load report of a target: running and queued requests. */
export interface SimulatedTargetLoad {
  running: number;
  waiting: number;
  /** How many times as long as usual work takes; unset if the target does not state it. */
  pace?: number;
}

interface QueuedRequest {
  object: string;
  done: (ran: boolean) => void;
}

export class SimulatedTarget {
  /** Factor by which the service time is increased; 1 is normal speed. */
  slowdown = 1;

  /** Slots currently available; fewer than configured while the target is overloaded. */
  availableSlots: number;

  /** Rate limit that an overloaded target advertises, in requests per second. */
  limitPerSecond: number | undefined;

  /** If set, the target rejects all requests and asks the instance to send none for this long, ms. */
  pauseMs: number | undefined;

  private running = 0;

  private readonly waiting: QueuedRequest[] = [];

  private readonly cache = new Map<string, true>();

  constructor(
    private readonly options: SimulatedTargetOptions,
    private readonly events: EventQueue,
    private readonly random: () => number,
  ) {
    this.availableSlots = options.slots;
  }

  /** Runs or queues a request; calls `done(false)` immediately if the target is full or pausing. */
  accept(object: string, done: (ran: boolean) => void): void {
    if (this.pauseMs !== undefined) done(false);
    else if (this.running < this.availableSlots) this.run({ object, done });
    else if (this.waiting.length < this.options.queueCapacity) this.waiting.push({ object, done });
    else done(false);
  }

  /** Returns the current load report. */
  load(): SimulatedTargetLoad {
    const pace = this.options.statesPace ? this.slowdown : undefined;
    return { running: this.running, waiting: this.waiting.length, pace };
  }

  private run(request: QueuedRequest): void {
    this.running += 1;
    const { serviceTimeMs, cacheSavings } = this.options;
    const cacheFactor = this.cache.has(request.object) ? 1 - cacheSavings : 1;
    const spread = 0.85 + 0.3 * this.random();
    // Cached at the start, so that requests arriving while the object is being loaded count as cache hits.
    this.addToCache(request.object);
    this.events.after(serviceTimeMs * cacheFactor * spread * this.slowdown, () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next) this.run(next);
      request.done(true);
    });
  }

  private addToCache(object: string): void {
    this.cache.delete(object);
    this.cache.set(object, true);
    if (this.cache.size > this.options.cacheCapacity) {
      const [oldest] = this.cache.keys();
      this.cache.delete(oldest);
    }
  }
}
