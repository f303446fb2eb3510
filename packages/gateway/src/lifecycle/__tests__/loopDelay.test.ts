/** Tests of the event loop monitor. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogFields } from '@cardamomladder/telemetry';
import { gatewayMetrics } from '@cardamomladder/telemetry';
import { CHECK_INTERVAL_MS, LOG_THRESHOLD_MS, monitorLoopDelay } from '../loopDelay';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const startMonitor = () => {
  let addedDelayMs = 0;
  const lines: LogFields[] = [];
  const metrics = gatewayMetrics(false);
  const stop = monitorLoopDelay({
    now: () => Date.now() + addedDelayMs,
    log: { write: (_kind, _request, fields) => lines.push(fields as LogFields) },
    metrics,
  });
  const delayLoop = (ms: number) => {
    addedDelayMs += ms;
    vi.advanceTimersByTime(CHECK_INTERVAL_MS);
  };
  const delay = async () => (await metrics.eventLoopDelay.get()).values[0]?.value;
  return { lines, delayLoop, delay, stop };
};

describe('event loop delay', () => {
  it('is exported as a metric and logged from the threshold on', async () => {
    // Guards against an instance's own delay being mistaken for slow targets: on
    // a slow machine, one of 195 instances read responses late although the
    // targets answered in time, and its log only showed long sends.
    const { lines, delayLoop, delay, stop } = startMonitor();
    delayLoop(20);
    expect(lines).toEqual([]);
    expect(await delay()).toBeCloseTo(0.02);
    delayLoop(LOG_THRESHOLD_MS);
    delayLoop(0);
    expect(lines).toEqual([{ event: 'running late', ms: LOG_THRESHOLD_MS }]);
    expect(await delay()).toBe(0);
    stop();
    delayLoop(5000);
    expect(lines).toHaveLength(1);
  });
});
