/** Whether an instance notices that it runs late. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogFields } from '@cardamomladder/telemetry';
import { gatewayMetrics } from '@cardamomladder/telemetry';
import { LATE_FROM_MS, LOOK_EVERY_MS, watchLoopDelay } from '../loopDelay';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const watched = () => {
  let heldUpMs = 0;
  const lines: LogFields[] = [];
  const metrics = gatewayMetrics(false);
  const stop = watchLoopDelay({
    now: () => Date.now() + heldUpMs,
    log: { write: (_kind, _request, fields) => lines.push(fields as LogFields) },
    metrics,
  });
  const holdUp = (ms: number) => {
    heldUpMs += ms;
    vi.advanceTimersByTime(LOOK_EVERY_MS);
  };
  const delay = async () => (await metrics.loopDelay.get()).values[0]?.value;
  return { lines, holdUp, delay, stop };
};

describe('the delay of the loop', () => {
  it('is shown, and written once callers feel it', async () => {
    // Symptom: one of 195 instances answers late, and its log shows only long
    // sends to many targets. Sequence: its machine turns slow; the targets
    // answer in time, the answers are read late. Cause: nothing told the
    // instance's own delay from the targets'.
    const { lines, holdUp, delay, stop } = watched();
    holdUp(20);
    expect(lines).toEqual([]);
    expect(await delay()).toBeCloseTo(0.02);
    holdUp(LATE_FROM_MS);
    holdUp(0);
    expect(lines).toEqual([{ event: 'running late', ms: LATE_FROM_MS }]);
    expect(await delay()).toBe(0);
    stop();
    holdUp(5000);
    expect(lines).toHaveLength(1);
  });
});
