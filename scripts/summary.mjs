// Prints the summary line that CI parses: "N passed, N failed" (", N skipped").
// Vitest prints its own summary in a format that CI does not recognise. Failed
// tests that are listed in KNOWN-RED.txt are printed but not counted as failed.
import { readFileSync } from 'node:fs';
import { relative } from 'node:path';
import { readKnownFailures, classifyFailures } from './knownFailures.mjs';
import { UNHANDLED_FILE } from './unhandledErrors.mjs';

const file = process.argv[2] ?? '.vitest-results.json';

const readJson = (name) => {
  try {
    return JSON.parse(readFileSync(name, 'utf8'));
  } catch (error) {
    console.log(`summary: no results in ${name} (${error.message})`);
    console.log('0 passed, 1 failed');
    return process.exit(1);
  }
};

const results = readJson(file);
const unhandled = readJson(UNHANDLED_FILE);
const passed = results.numPassedTests ?? 0;
// A test file that fails to load reports no failed tests; count it as one failure.
const unloaded = (results.testResults ?? []).filter(
  (each) => each.status === 'failed' && each.assertionResults.every((t) => t.status !== 'failed'),
).length;
// An obsolete snapshot may belong to a test that was removed by mistake, which
// would otherwise go unnoticed. Each counts as one failure.
const { unchecked: obsolete = 0, uncheckedKeysByFile: obsoleteIn = [] } = results.snapshot ?? {};
obsoleteIn.forEach(({ filePath, keys }) =>
  keys.forEach((key) => console.log(`obsolete snapshot: ${filePath}: ${key}`)),
);
unhandled.forEach((message) => console.log(`error outside any test: ${message}`));

const failedTests = (results.testResults ?? []).flatMap(({ name, assertionResults }) =>
  assertionResults
    .filter(({ status }) => status === 'failed')
    .map(({ ancestorTitles, title }) =>
      [relative('.', name), ...ancestorTitles, title].filter((part) => part !== '').join(' > '),
    ),
);
const { unknown, known, notFailed } = classifyFailures(
  failedTests,
  readKnownFailures('KNOWN-RED.txt'),
);
known.forEach(({ test, cause, issue }) =>
  console.log(`known failure: ${test} (${cause}; ${issue})`),
);
notFailed.forEach(({ test }) => console.log(`listed in KNOWN-RED.txt, did not fail: ${test}`));
unknown.forEach((test) => console.log(`failed: ${test}`));

const failed = unknown.length + unloaded + obsolete + unhandled.length;
const skipped = (results.numPendingTests ?? 0) + (results.numTodoTests ?? 0);
console.log(`${passed} passed, ${failed} failed${skipped ? `, ${skipped} skipped` : ''}`);
// Vitest's exit code decides unless a listed failure accounts for it.
const vitestFailed = Number(process.argv[3] ?? 0) !== 0 && known.length === 0;
if (failed > 0 || vitestFailed) process.exitCode = 1;
