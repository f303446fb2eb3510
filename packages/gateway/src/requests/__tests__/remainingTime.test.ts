/** Which requests a stopping instance accepts. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { endsInTime } from '../remainingTime';

const LEFT_MS = 3000;
const SHORT_MS = 1000;
const LONG_MS = 8000;

const ms = () => fc.integer({ min: 0, max: 20_000 });

describe('a request at a stopping instance', () => {
  it('is accepted if it and those before it on its connection end before the process does', () => {
    // Guards against accepting what is cut, also behind another request, and against refusing what would be served.
    const cases = [0, SHORT_MS, LEFT_MS, LONG_MS].flatMap((allowedMs) =>
      [0, SHORT_MS, LEFT_MS, LONG_MS].flatMap((aheadMs) =>
        [0, LEFT_MS].map((deliveryMs) => {
          const times = { leftMs: LEFT_MS, allowedMs, aheadMs, deliveryMs };
          const result = endsInTime(times) ? 'accepted' : 'refused';
          return `allowed ${allowedMs}, ahead ${aheadMs}, delivery ${deliveryMs}: ${result}`;
        }),
      ),
    );
    expect(cases).toMatchInlineSnapshot(`
      [
        "allowed 0, ahead 0, delivery 0: accepted",
        "allowed 0, ahead 0, delivery 3000: accepted",
        "allowed 0, ahead 1000, delivery 0: accepted",
        "allowed 0, ahead 1000, delivery 3000: refused",
        "allowed 0, ahead 3000, delivery 0: accepted",
        "allowed 0, ahead 3000, delivery 3000: refused",
        "allowed 0, ahead 8000, delivery 0: refused",
        "allowed 0, ahead 8000, delivery 3000: refused",
        "allowed 1000, ahead 0, delivery 0: accepted",
        "allowed 1000, ahead 0, delivery 3000: refused",
        "allowed 1000, ahead 1000, delivery 0: accepted",
        "allowed 1000, ahead 1000, delivery 3000: refused",
        "allowed 1000, ahead 3000, delivery 0: accepted",
        "allowed 1000, ahead 3000, delivery 3000: refused",
        "allowed 1000, ahead 8000, delivery 0: refused",
        "allowed 1000, ahead 8000, delivery 3000: refused",
        "allowed 3000, ahead 0, delivery 0: accepted",
        "allowed 3000, ahead 0, delivery 3000: refused",
        "allowed 3000, ahead 1000, delivery 0: accepted",
        "allowed 3000, ahead 1000, delivery 3000: refused",
        "allowed 3000, ahead 3000, delivery 0: accepted",
        "allowed 3000, ahead 3000, delivery 3000: refused",
        "allowed 3000, ahead 8000, delivery 0: refused",
        "allowed 3000, ahead 8000, delivery 3000: refused",
        "allowed 8000, ahead 0, delivery 0: refused",
        "allowed 8000, ahead 0, delivery 3000: refused",
        "allowed 8000, ahead 1000, delivery 0: refused",
        "allowed 8000, ahead 1000, delivery 3000: refused",
        "allowed 8000, ahead 3000, delivery 0: refused",
        "allowed 8000, ahead 3000, delivery 3000: refused",
        "allowed 8000, ahead 8000, delivery 0: refused",
        "allowed 8000, ahead 8000, delivery 3000: refused",
      ]
    `);
  });

  it('is never accepted if it, or one before it, may still be open when the process ends', () => {
    // Guards against an estimate that lets a request in: it may only refuse.
    fc.assert(
      fc.property(ms(), ms(), ms(), ms(), (leftMs, allowedMs, aheadMs, deliveryMs) => {
        const mayBeOpen = allowedMs > leftMs || aheadMs > leftMs;
        if (mayBeOpen) expect(endsInTime({ leftMs, allowedMs, aheadMs, deliveryMs })).toBe(false);
        else expect(endsInTime({ leftMs, allowedMs, aheadMs, deliveryMs: 0 })).toBe(true);
      }),
    );
  });
});
