/** Which requests are known again as the same one. */
import { describe, expect, it } from 'vitest';
import { digestOf } from '../digest';

const request = {
  caller: '10.0.0.7',
  method: 'POST',
  host: 'a.example',
  path: '/book/1?x=2',
  body: Buffer.from('{"visit":1}'),
};

describe('the digest of a request', () => {
  it('is the same at each instance and for each attempt', () => {
    expect(digestOf({ ...request, body: Buffer.from('{"visit":1}') })).toBe(digestOf(request));
    expect(digestOf(request)).toMatchInlineSnapshot(`"J775zvxudXqhBazh"`);
  });

  it('differs with each thing that makes it another request', () => {
    const others = [
      { ...request, caller: '10.0.0.8' },
      { ...request, method: 'GET' },
      { ...request, host: 'b.example' },
      { ...request, path: '/book/1?x=3' },
      { ...request, body: Buffer.from('{"visit":2}') },
      { ...request, body: undefined },
    ];
    expect(new Set([request, ...others].map(digestOf)).size).toBe(others.length + 1);
  });
});
