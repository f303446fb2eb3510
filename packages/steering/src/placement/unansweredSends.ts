/**
 * Detects that a target has become unresponsive before any of its requests times out.
 *
 * A target may become ten times slower while its health checks still pass. With
 * hundreds of targets and dozens of instances, an instance sends a given target one
 * request every few seconds and would learn nothing until the first one reaches its
 * timeout, the longest time that callers wait. So a send counts as overdue once it has
 * taken much longer than the longest recent response of its kind, if the target has
 * answered nothing in the meantime.
 */

/** A send in flight. Times are in milliseconds on the monotonic clock. */
interface UnansweredSend {
  sentAt: number;
  overdueAt: number;
}

/** The sends to one target that are in flight. */
export class UnansweredSends {
  private readonly sends = new Set<UnansweredSend>();

  private lastAnswerAt = -Infinity;

  /**
   * Records a send. `expectedMs` is the longest time it is expected to take. Returns a
   * function that ends it.
   */
  start(sentAt: number, expectedMs: number): (outcome: 'answered' | 'lost', at: number) => void {
    const send = { sentAt, overdueAt: sentAt + expectedMs };
    this.sends.add(send);
    return (outcome, at) => {
      this.sends.delete(send);
      if (outcome === 'answered') this.lastAnswerAt = at;
    };
  }

  /** Disregards the sends in flight: their silence has another cause than the target. */
  disregard(): void {
    this.sends.clear();
  }

  /** Returns true while a send is overdue and nothing has been answered since it was made. */
  isUnresponsive(now: number): boolean {
    for (const { sentAt, overdueAt } of this.sends)
      if (overdueAt <= now && sentAt > this.lastAnswerAt) return true;
    return false;
  }
}
