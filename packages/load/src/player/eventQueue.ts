/** A queue of future events in virtual time: a binary heap by time, then by order of entry. */

interface Entry {
  at: number;
  order: number;
  act: () => void;
}

const before = (a: Entry, b: Entry): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** Plays events in the order of their times; `now` is the virtual time, ms. */
export class EventQueue {
  now = 0;

  private readonly heap: Entry[] = [];

  private entered = 0;

  /** Plans `act` after `ms`. */
  after(ms: number, act: () => void): void {
    this.entered += 1;
    const entry = { at: this.now + Math.max(0, ms), order: this.entered, act };
    this.heap.push(entry);
    let i = this.heap.length - 1;
    while (i > 0) {
      const parent = Math.floor((i - 1) / 2);
      if (!before(entry, this.heap[parent])) break;
      this.heap[i] = this.heap[parent];
      i = parent;
    }
    this.heap[i] = entry;
  }

  /** Plays all events up to `until`, ms. */
  play(until: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= until) {
      const { at, act } = this.takeFirst();
      this.now = at;
      act();
    }
    this.now = until;
  }

  private takeFirst(): Entry {
    const [first] = this.heap;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) this.sink(last);
    return first;
  }

  private sink(entry: Entry): void {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.heap.length) break;
      const right = left + 1;
      const child =
        right < this.heap.length && before(this.heap[right], this.heap[left]) ? right : left;
      if (!before(this.heap[child], entry)) break;
      this.heap[i] = this.heap[child];
      i = child;
    }
    this.heap[i] = entry;
  }
}
