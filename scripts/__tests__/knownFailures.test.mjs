/** Parsing KNOWN-RED.txt and telling listed test failures from others. */
import { describe, expect, it } from 'vitest';
import { parseKnownFailures, classifyFailures } from '../knownFailures.mjs';

const LIST = `# comment

a.test.ts > group > first | cause | issue 7 | npm test, seed 1 | 4 of 9 fail
`;

describe('KNOWN-RED.txt', () => {
  it('is parsed into fields, and rejected if one is missing', () => {
    expect(parseKnownFailures(LIST)).toMatchInlineSnapshot(`
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
    expect(() => parseKnownFailures('a.test.ts > first | cause')).toThrow(
      'expected test | cause | issue | command | seen',
    );
  });

  it('covers only the tests that it lists', () => {
    const entries = parseKnownFailures(LIST);
    const sorted = classifyFailures(['a.test.ts > group > first', 'a.test.ts > other'], entries);
    expect(sorted.unknown).toEqual(['a.test.ts > other']);
    expect(sorted.known).toEqual(entries);
    expect(classifyFailures([], entries).notFailed).toEqual(entries);
  });
});
