/** Logging is bounded and does not block the process. */
import { describe, expect, it } from 'vitest';
import { BATCH_INTERVAL_MS, logRateLimiter, lineWriter } from '..';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('lineWriter', () => {
  it('drops and counts lines while the reader is blocked, and reports the count when it resumes', async () => {
    // Guards against requests that hang when the log reader stops: with
    // synchronous writes, the pipe fills up and the next write blocks.
    const written: string[] = [];
    let completeWrite: (() => void) | undefined;
    const writer = lineWriter((text, done) => {
      written.push(text);
      completeWrite = () => done();
    }, 100);
    writer.write('first');
    await sleep(BATCH_INTERVAL_MS * 1.5);
    for (let i = 0; i < 50; i += 1) writer.write(`line ${i}`);
    expect(writer.dropped()).toBeGreaterThan(30);
    completeWrite?.();
    await sleep(BATCH_INTERVAL_MS * 2);
    expect(written[0]).toBe('first\n');
    expect(written[1]).toContain(`"dropped":${writer.dropped()}`);
    expect(written[1].length).toBeLessThan(300);
  });
});

describe('logRateLimiter', () => {
  it('admits a limited number of lines per kind and second and reports how many were suppressed', () => {
    const limit = logRateLimiter((kind) => (kind === 'rare' ? 1 : 2));
    const admitted = [
      limit.admit('a', 0),
      limit.admit('a', 10),
      limit.admit('a', 20),
      limit.admit('rare', 30),
      limit.admit('a', 40),
      limit.admit('a', 1000),
    ];
    expect(admitted).toEqual([0, 0, undefined, 0, undefined, 2]);
  });
});
