/** Logs stay bounded and never block. */
import { describe, expect, it } from 'vitest';
import { BATCH_MS, lineLimit, lineWriter } from '..';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('the line writer', () => {
  it('drops and counts lines while the reader has stopped, and says so once it reads again', async () => {
    // Symptom: requests hang when a log reader stops. Sequence: the pipe
    // fills, the next write waits. Cause: log lines were written in place.
    const written: string[] = [];
    let release: (() => void) | undefined;
    const writer = lineWriter((text, done) => {
      written.push(text);
      release = () => done();
    }, 100);
    writer.write('first');
    await sleep(BATCH_MS * 1.5);
    for (let i = 0; i < 50; i += 1) writer.write(`line ${i}`);
    expect(writer.dropped()).toBeGreaterThan(30);
    release?.();
    await sleep(BATCH_MS * 2);
    expect(written[0]).toBe('first\n');
    expect(written[1]).toContain(`"dropped":${writer.dropped()}`);
    expect(written[1].length).toBeLessThan(300);
  });
});

describe('the line limit', () => {
  it('admits so many lines of a kind each second and counts what it left out', () => {
    const limit = lineLimit((kind) => (kind === 'rare' ? 1 : 2));
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
