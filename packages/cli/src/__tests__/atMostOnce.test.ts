/**
 * Bookings and arrivals run at most once, and "not-run" is returned only if no
 * target ran the request; checked against the execution records of the target
 * stand-ins.
 */
import { describe, expect, it } from 'vitest';
import { sendRequest, useCluster } from '../__fixtures__/testCluster';

const cluster = useCluster({ memberLagMs: 200 });
const executions = (key: string) =>
  (cluster().targets.get('book') ?? []).flatMap((t) => t.executions).filter((e) => e.key === key)
    .length;
const setFaults = (faults: Record<string, boolean>) =>
  (cluster().targets.get('book') ?? []).forEach((t) => Object.assign(t.faults, faults));

describe('at most once', () => {
  it('answers "unknown" and never retries when the reply to a booking is lost', async () => {
    // Guards against duplicate bookings: the target books the visit and the
    // connection drops before the response. An entry that retried every failed
    // attempt would book again on the second target.
    setFaults({ resetAfterWork: true });
    const reply = await sendRequest(cluster().entries[0].address, '/s/book/visit', {
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
    const repeatedReply = await sendRequest(cluster().entries[0].address, '/s/book/visit', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'visit-1' },
    });
    expect([repeatedReply.status, repeatedReply.outcome]).toEqual([409, 'unknown']);
    expect(executions('visit-1')).toBe(1);
  });

  it('answers "not-run" only when no target ran the booking, so that a retry is safe', async () => {
    // Guards against answering "not-run" for any failure, after which a caller
    // resends an arrival that was in fact recorded. Here every target is
    // draining and rejects the request.
    const targets = cluster().targets.get('book') ?? [];
    const drains = targets.map((t) => t.drain());
    await Promise.all(drains);
    const reply = await sendRequest(cluster().entries[1].address, '/s/book/visit', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'visit-2' },
    });
    expect([reply.status, reply.outcome]).toEqual([503, 'not-run']);
    expect(reply.retryAfter).not.toBeNull();
    expect(executions('visit-2')).toBe(0);
  });
});
