/**
 * Bookings and arrivals run at most once, and "not run" is said only when
 * nothing ran; checked against the target stand-ins' own execution records.
 */
import { describe, expect, it } from 'vitest';
import { send, useCluster } from '../__fixtures__/tiny';

const cluster = useCluster({ memberLagMs: 200 });
const executions = (key: string) =>
  (cluster().upstreams.get('book') ?? []).flatMap((u) => u.executions).filter((e) => e.key === key)
    .length;
const setFaults = (faults: Record<string, boolean>) =>
  (cluster().upstreams.get('book') ?? []).forEach((u) => Object.assign(u.faults, faults));

describe('at most once', () => {
  it('answers "unknown" and never retries when the reply to a booking is lost', async () => {
    // Symptom: two plumbers sent for one tap. Sequence: the booking reaches
    // a target, the target books the visit, the connection drops before the
    // answer. Cause it guards against: an entry that retries any failed
    // attempt would book again on the second target.
    setFaults({ resetAfterWork: true });
    const reply = await send(cluster().entries[0].address, '/s/book/visit', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'visit-1' },
    });
    setFaults({ resetAfterWork: false });
    expect({ status: reply.status, outcome: reply.outcome, error: reply.error })
      .toMatchInlineSnapshot(`
      {
        "error": "outcome-unknown",
        "outcome": "unknown",
        "status": 504,
      }
    `);
    expect(executions('visit-1')).toBe(1);
    const again = await send(cluster().entries[0].address, '/s/book/visit', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'visit-1' },
    });
    expect([again.status, again.outcome]).toEqual([409, 'unknown']);
    expect(executions('visit-1')).toBe(1);
  });

  it('says "not run" only when no target ran the booking, and then it is safe to send again', async () => {
    // Symptom: a kiosk told "not run" re-sends an arrival that had in fact
    // been recorded. Sequence: every target is draining and refuses.
    // Cause it guards against: "not run" given for any failure.
    const ups = cluster().upstreams.get('book') ?? [];
    const drains = ups.map((u) => u.drain());
    await Promise.all(drains);
    const reply = await send(cluster().entries[1].address, '/s/book/visit', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'visit-2' },
    });
    expect([reply.status, reply.outcome]).toEqual([503, 'not-run']);
    expect(reply.retryAfter).not.toBeNull();
    expect(executions('visit-2')).toBe(0);
  });
});
