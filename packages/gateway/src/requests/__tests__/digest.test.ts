/** Which requests have the same digest. */
import { describe, expect, it } from 'vitest';
import type { DigestedRequest } from '../digest';
import { callerDigestOf, requestDigestOf } from '../digest';

const request = {
  caller: '10.0.0.7',
  credentials: '',
  method: 'POST',
  host: 'a.example',
  path: '/book/1?x=2',
  body: Buffer.from('{"visit":1}'),
};

const digestOf = (asked: DigestedRequest) => ({
  request: requestDigestOf(asked),
  caller: callerDigestOf(asked),
});

describe('the digest of a request', () => {
  it('is the same on each instance and for each attempt', () => {
    expect(digestOf({ ...request, body: Buffer.from('{"visit":1}') })).toEqual(digestOf(request));
    expect(digestOf(request)).toMatchInlineSnapshot(`
      {
        "caller": "2k5XwBNQ",
        "request": "jIWtlNTzk3_sf4Xn",
      }
    `);
  });

  it('differs if any identifying field differs', () => {
    const others = [
      { ...request, method: 'GET' },
      { ...request, host: 'b.example' },
      { ...request, path: '/book/1?x=3' },
      { ...request, body: Buffer.from('{"visit":2}') },
      { ...request, body: undefined },
    ];
    const digests = [request, ...others].map((each) => digestOf(each).request);
    expect(new Set(digests).size).toBe(others.length + 1);
  });

  it('depends on address and credentials for callers, but not for requests', () => {
    const others = [
      { ...request, caller: '10.0.0.8' },
      { ...request, credentials: 'Bearer one' },
      { ...request, credentials: 'Bearer two' },
    ];
    const digests = [request, ...others].map(digestOf);
    expect(new Set(digests.map(({ caller }) => caller)).size).toBe(others.length + 1);
    expect(new Set(digests.map((each) => each.request)).size).toBe(1);
  });
});
