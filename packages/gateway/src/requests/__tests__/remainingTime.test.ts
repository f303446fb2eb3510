/** Which requests a stopping instance accepts. */
import { describe, expect, it } from 'vitest';
import { finishesInTime } from '../remainingTime';

const LEFT_MS = 3000;
const SHORT_MS = 1000;
const LONG_MS = 8000;

describe('a request at a stopping instance', () => {
  it('is accepted if its work and its delivery fit, or its deadline ends it in time', () => {
    // Guards against accepting what is cut, and against refusing what would be served.
    const cases = [SHORT_MS, LONG_MS].flatMap((allowedMs) =>
      [undefined, SHORT_MS, LONG_MS].flatMap((workMs) =>
        [0, LEFT_MS].map((deliveryMs) => {
          const times = { allowedMs, workMs, deliveryMs, aheadMs: 0 };
          const result = finishesInTime({ leftMs: LEFT_MS, ...times }) ? 'accepted' : 'refused';
          return `allowed ${allowedMs}, work ${workMs}, delivery ${deliveryMs}: ${result}`;
        }),
      ),
    );
    expect(cases).toMatchInlineSnapshot(`
      [
        "allowed 1000, work undefined, delivery 0: accepted",
        "allowed 1000, work undefined, delivery 3000: refused",
        "allowed 1000, work 1000, delivery 0: accepted",
        "allowed 1000, work 1000, delivery 3000: refused",
        "allowed 1000, work 8000, delivery 0: accepted",
        "allowed 1000, work 8000, delivery 3000: refused",
        "allowed 8000, work undefined, delivery 0: refused",
        "allowed 8000, work undefined, delivery 3000: refused",
        "allowed 8000, work 1000, delivery 0: accepted",
        "allowed 8000, work 1000, delivery 3000: refused",
        "allowed 8000, work 8000, delivery 0: refused",
        "allowed 8000, work 8000, delivery 3000: refused",
      ]
    `);
  });

  it('is refused if a request before it on its connection is answered too late', () => {
    // Guards against answers that are ready in time, but go out behind a later one.
    const times = { leftMs: LEFT_MS, allowedMs: SHORT_MS, workMs: SHORT_MS, deliveryMs: 100 };
    expect(finishesInTime({ ...times, aheadMs: SHORT_MS })).toBe(true);
    expect(finishesInTime({ ...times, aheadMs: LEFT_MS })).toBe(false);
  });
});
