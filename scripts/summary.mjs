// Prints the closing line CI reads: "N passed, N failed" (", N skipped").
// vitest's own summary is boxed and not in the form CI recognises.
import { readFileSync } from 'node:fs';

const file = process.argv[2] ?? '.vitest-results.json';
let results;
try {
  results = JSON.parse(readFileSync(file, 'utf8'));
} catch (error) {
  console.log(`summary: no results in ${file} (${error.message})`);
  console.log('0 passed, 1 failed');
  process.exit(1);
}
const passed = results.numPassedTests ?? 0;
// A file that does not load has no tests to fail; it counts as one failure.
const unloaded = (results.testResults ?? []).filter(
  (each) => each.status === 'failed' && each.assertionResults.every((t) => t.status !== 'failed'),
).length;
// A snapshot that no test asks for is what is left of a test that was lost:
// the run would stay green without it. Each counts as one failure.
const { unchecked: obsolete = 0, uncheckedKeysByFile: obsoleteIn = [] } = results.snapshot ?? {};
obsoleteIn.forEach(({ filePath, keys }) =>
  keys.forEach((key) => console.log(`obsolete snapshot: ${filePath}: ${key}`)),
);
const failed = (results.numFailedTests ?? 0) + unloaded + obsolete;
const skipped = (results.numPendingTests ?? 0) + (results.numTodoTests ?? 0);
console.log(`${passed} passed, ${failed} failed${skipped ? `, ${skipped} skipped` : ''}`);
if (failed > 0) process.exitCode = 1;
