import { serviceName } from '@cardamomladder/types';
import { expect, it } from 'vitest';
import type { RepeatSecond } from '../repeatCounts';
import { RepeatCounts } from '../repeatCounts';

it('reports each second with repeats, and none without', () => {
  // Guards against repeats that are seen only as the total of a day.
  const seconds: RepeatSecond[] = [];
  const counts = new RepeatCounts(serviceName('desk'), 10_000, 0, (second) => seconds.push(second));
  for (let at = 0; at < 4000; at += 100) counts.countRequest(at);
  counts.countRepeat('granted', 4000);
  counts.countRepeat('free', 4100);
  counts.countRepeat('refused', 4900);
  counts.countRequest(5100);
  counts.countRequest(8000);
  counts.countRepeat('granted', 9000);
  counts.countRepeat('granted', 10_000);
  expect(seconds).toMatchInlineSnapshot(`
    [
      {
        "agoMs": 1100,
        "free": 1,
        "granted": 1,
        "refused": 1,
        "requestsInWindow": 40,
        "service": "desk",
        "upMs": 5100,
      },
      {
        "agoMs": 1000,
        "free": 0,
        "granted": 1,
        "refused": 0,
        "requestsInWindow": 42,
        "service": "desk",
        "upMs": 10000,
      },
    ]
  `);
});
