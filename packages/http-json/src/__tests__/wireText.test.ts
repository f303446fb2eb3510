/** Text of any characters in request heads. */
import { request, validateHeaderValue } from 'node:http';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { isHeaderToken, toHeaderValue, toRequestPath } from '..';

const anyText = fc.string({ unit: 'binary', maxLength: 40 });
const printable = fc.string({ unit: 'grapheme-ascii', maxLength: 40 });

describe('text in request heads', () => {
  it('can always be sent', () => {
    // Guards against exceptions at the send by what configurations and entries hold.
    fc.assert(
      fc.property(anyText, (text) => {
        validateHeaderValue('x-name', toHeaderValue(text));
        const req = request({ host: '127.0.0.1', port: 9, path: `/${toRequestPath(text)}` });
        req.on('error', () => {});
        req.destroy();
      }),
      { numRuns: 200 },
    );
  });

  it('stays as it is where it could be sent before', () => {
    fc.assert(
      fc.property(printable, (text) => {
        expect(toHeaderValue(text)).toBe(text);
        if (!text.includes(' ')) expect(toRequestPath(text)).toBe(text);
        expect(isHeaderToken(text)).toBe(text !== '' && !text.includes(' '));
      }),
    );
  });

  it('is UTF-8 on the wire', () => {
    expect(Buffer.from(toHeaderValue('Ægir – 水\n'), 'latin1').toString('utf8')).toBe(
      'Ægir – 水%0A',
    );
    expect(toRequestPath('/líðan og heilsa%20')).toBe('/l%C3%AD%C3%B0an%20og%20heilsa%20');
  });
});
