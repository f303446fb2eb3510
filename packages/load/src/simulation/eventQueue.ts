/** Event queue for discrete-event simulation: a binary heap ordered by time, then by insertion order. */

interface ScheduledEvent {
  at: number;
  sequenceNumber: number;
  callback: () => void;
}

const precedes = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.sequenceNumber < b.sequenceNumber);

/** Runs scheduled callbacks in order of time; `now` is the virtual time in ms. */
export class EventQueue {
  now = 0;

  private readonly heap: ScheduledEvent[] = [];

  private scheduledCount = 0;

  /** Schedules `callback` to run after `delayMs` of virtual time. */
  after(delayMs: number, callback: () => void): void {
    this.scheduledCount += 1;
    const event = {
      at: this.now + Math.max(0, delayMs),
      sequenceNumber: this.scheduledCount,
      callback,
    };
    this.heap.push(event);
    let i = this.heap.length - 1;
    while (i > 0) {
      const parent = Math.floor((i - 1) / 2);
      if (!precedes(event, this.heap[parent])) break;
      this.heap[i] = this.heap[parent];
      i = parent;
    }
    this.heap[i] = event;
  }

  /** Runs all events up to and including the virtual time `endsAt`, ms. */
  runUntil(endsAt: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= endsAt) {
      const { at, callback } = this.removeFirst();
      this.now = at;
      callback();
    }
    this.now = endsAt;
  }

  private removeFirst(): ScheduledEvent {
    const [first] = this.heap;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) this.siftDown(last);
    return first;
  }

  private siftDown(event: ScheduledEvent): void {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.heap.length) break;
      const right = left + 1;
      const child =
        right < this.heap.length && precedes(this.heap[right], this.heap[left]) ? right : left;
      if (!precedes(this.heap[child], event)) break;
      this.heap[i] = this.heap[child];
      i = child;
    }
    this.heap[i] = event;
  }
}
