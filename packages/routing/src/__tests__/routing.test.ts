/** Route lookup and traffic splitting. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { configurationVersion, routeName, serviceName } from '@cardamomladder/types';
import type { Route } from '..';
import { createRouteTable, createTrafficSplit } from '..';

const route = (name: string, host: string, pathPrefix: string, weights: number[] = [1]): Route => ({
  name: routeName(name),
  host,
  pathPrefix,
  kind: 'idempotent',
  destinations: weights.map((weight, i) => ({ service: serviceName(`s${i}`), weight })),
  maxAttempts: 2,
  priority: 1,
  homeRegions: [],
  isPublic: false,
});
const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

describe('route lookup', () => {
  it('matches the longest path prefix of a host, ignoring the port and letter case of the host', () => {
    const table = createRouteTable({
      version: configurationVersion(1),
      services: [],
      limits,
      routes: [
        route('short', 'a.example', '/x/'),
        route('long', 'a.example', '/x/y/'),
        route('other', 'b.example', '/'),
      ],
    });
    const found = [
      table('a.example', '/x/1'),
      table('A.example:80', '/x/y/1?q=/z/'),
      table('b.example', '/x/1'),
      table('a.example', '/xy'),
      table('c.example', '/x/1'),
    ].map((r) => r?.name);
    expect(found).toEqual(['short', 'long', 'other', undefined, undefined]);
  });
});

describe('a traffic split', () => {
  it('keeps each destination within two requests of its share at every moment', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 2, maxLength: 4 }),
        fc.integer({ min: 1, max: 300 }),
        (weights, n) => {
          const split = createTrafficSplit();
          const splitRoute = route('r', 'h', '/', weights);
          const total = weights.reduce((a, b) => a + b, 0);
          const counts = new Map<string, number>();
          for (let i = 0; i < n; i += 1) {
            const service = split.next(splitRoute);
            counts.set(service, (counts.get(service) ?? 0) + 1);
          }
          weights.forEach((weight, i) => {
            const deviation = (counts.get(`s${i}`) ?? 0) - (n * weight) / total;
            expect(Math.abs(deviation)).toBeLessThanOrEqual(2);
          });
        },
      ),
    );
  });
});
