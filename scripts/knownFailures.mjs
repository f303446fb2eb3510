// Reads KNOWN-RED.txt, the list of tests that fail because of a known open
// fault. A line has five fields, separated by ' | ': the test as `file > name`,
// the cause, the issue, the command and seed, and the observed failure.
import { existsSync, readFileSync } from 'node:fs';

const FIELDS = ['test', 'cause', 'issue', 'command', 'seen'];

/** Parses the list; throws on a line with a missing, empty or extra field. */
export const parseKnownFailures = (text) =>
  text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => {
      const fields = line.split(' | ').map((field) => field.trim());
      if (fields.length !== FIELDS.length || fields.some((field) => field === ''))
        throw new Error(`KNOWN-RED.txt: expected ${FIELDS.join(' | ')}, got: ${line}`);
      return Object.fromEntries(FIELDS.map((name, i) => [name, fields[i]]));
    });

/** Parses the list in `file`; returns no entries if the file does not exist. */
export const readKnownFailures = (file) =>
  existsSync(file) ? parseKnownFailures(readFileSync(file, 'utf8')) : [];

/** Splits failed tests into listed and unlisted ones, and returns listed tests that did not fail. */
export const classifyFailures = (failedTests, entries) => {
  const listed = new Set(entries.map(({ test }) => test));
  const failed = new Set(failedTests);
  return {
    unknown: failedTests.filter((test) => !listed.has(test)),
    known: entries.filter(({ test }) => failed.has(test)),
    notFailed: entries.filter(({ test }) => !failed.has(test)),
  };
};
