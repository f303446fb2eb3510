/** Identification of callers and intersection of home regions. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { apiKey, customerName, regionName } from '@cardamomladder/types';
import type { Credentials, Customer } from '..';
import { customerTable, identify, intersectHomeRegions } from '..';

const customer = (name: string, keys: string[]): Customer => ({
  name: customerName(name),
  keys: keys.map(apiKey),
  homeRegions: [],
});
const keyCredentials = (key: string): Credentials => ({ kind: 'key', key: apiKey(key) });

describe('caller identification', () => {
  const table = customerTable([customer('harbour', ['k1', 'k2']), customer('closed', [])]);

  it('returns the customer that the key belongs to, on public routes too', () => {
    const outcomes = [false, true].map((isPublic) =>
      identify(table, keyCredentials('k2'), isPublic),
    );
    expect(outcomes).toEqual([
      { kind: 'customer', customer: expect.objectContaining({ name: 'harbour' }) },
      { kind: 'customer', customer: expect.objectContaining({ name: 'harbour' }) },
    ]);
  });

  it('rejects callers without a valid key, except on public routes', () => {
    const credentials: Credentials[] = [
      keyCredentials('k3'),
      { kind: 'none' },
      { kind: 'malformed' },
    ];
    expect(credentials.map((c) => identify(table, c, false))).toMatchInlineSnapshot(`
      [
        {
          "kind": "unknown",
          "message": "the key belongs to no customer; use one that the operators list for yours",
        },
        {
          "kind": "unknown",
          "message": "the request carries no key; send the one that the operators gave you",
        },
        {
          "kind": "unknown",
          "message": "the credentials are not exactly one key; send one in one header",
        },
      ]
    `);
    expect(credentials.map((c) => identify(table, c, true).kind)).toEqual([
      'anonymous',
      'anonymous',
      'anonymous',
    ]);
  });

  it('finds the customer among ten thousand keys', () => {
    const many = Array.from({ length: 5000 }, (_, i) => customer(`c${i}`, [`a${i}`, `b${i}`]));
    const lookup = customerTable(many);
    fc.assert(
      fc.property(fc.nat(4999), fc.constantFrom('a', 'b'), (i, letter) => {
        expect(lookup(apiKey(`${letter}${i}`))?.name).toBe(`c${i}`);
      }),
    );
  });
});

describe('intersection of the home regions of a route and a customer', () => {
  const regions = ['north', 'south', 'east'].map(regionName);

  it('contains exactly the regions that both allow', () => {
    fc.assert(
      fc.property(fc.subarray(regions), fc.subarray(regions), (first, second) => {
        const common = intersectHomeRegions(first, second);
        const allows = (list: readonly string[], region: string) =>
          list.length === 0 || list.includes(region);
        regions.forEach((region) => {
          const allowed = common !== 'nowhere' && allows(common, region);
          expect(allowed).toBe(allows(first, region) && allows(second, region));
        });
      }),
    );
  });
});
