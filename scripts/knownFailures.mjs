// Reads KNOWN-RED.txt: tests that fail for a fault that is known and open. A
// line has five fields, separated by ' | ': the test as `file > name`, the
// cause, the issue, the command and seed, and what was seen.
import { existsSync, readFileSync } from 'node:fs';

const FIELDS = ['test', 'cause', 'issue', 'command', 'seen'];

/** The entries of a list; a line without all of its fields is an error. */
export const parseKnownRed = (text) =>
  text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => {
      const fields = line.split(' | ').map((field) => field.trim());
      if (fields.length !== FIELDS.length || fields.some((field) => field === ''))
        throw new Error(`KNOWN-RED.txt: give ${FIELDS.join(' | ')}, not: ${line}`);
      return Object.fromEntries(FIELDS.map((name, i) => [name, fields[i]]));
    });

/** The entries of the list in `file`; none when there is no such file. */
export const readKnownRed = (file) =>
  existsSync(file) ? parseKnownRed(readFileSync(file, 'utf8')) : [];

/** Failed tests by whether they are listed, and listed ones that did not fail. */
export const sortFailures = (failedTests, entries) => {
  const listed = new Set(entries.map(({ test }) => test));
  const failed = new Set(failedTests);
  return {
    unknown: failedTests.filter((test) => !listed.has(test)),
    known: entries.filter(({ test }) => failed.has(test)),
    notFailed: entries.filter(({ test }) => !failed.has(test)),
  };
};
