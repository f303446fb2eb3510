/** The list of tests that are known to fail: what CI passes over, and what it doesn't. */
import { describe, expect, it } from 'vitest';
import { parseKnownRed, sortFailures } from '../knownRed.mjs';

const LIST = `# comment

a.test.ts > group > first | cause | issue 7 | npm test, seed 1 | 4 of 9 fail
`;

describe('KNOWN-RED.txt', () => {
  it('is read by its fields, and refused where one is missing', () => {
    expect(parseKnownRed(LIST)).toMatchInlineSnapshot(`
      [
        {
          "cause": "cause",
          "command": "npm test, seed 1",
          "issue": "issue 7",
          "seen": "4 of 9 fail",
          "test": "a.test.ts > group > first",
        },
      ]
    `);
    expect(() => parseKnownRed('a.test.ts > first | cause')).toThrow(
      'give test | cause | issue | command | seen',
    );
  });

  it('covers just the tests that it lists', () => {
    const entries = parseKnownRed(LIST);
    const sorted = sortFailures(['a.test.ts > group > first', 'a.test.ts > other'], entries);
    expect(sorted.unknown).toEqual(['a.test.ts > other']);
    expect(sorted.known).toEqual(entries);
    expect(sortFailures([], entries).notFailed).toEqual(entries);
  });
});
