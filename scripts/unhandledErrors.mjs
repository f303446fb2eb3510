// A Vitest reporter that records errors outside any test. Such an error sets
// Vitest's exit code to 1, as a failed test does, so the exit code alone does
// not reveal it when a test listed in KNOWN-RED.txt fails in the same run.
import { writeFileSync } from 'node:fs';

/** File that passes the error messages to summary.mjs. */
export const UNHANDLED_FILE = '.vitest-unhandled.json';

export default class UnhandledErrors {
  onTestRunEnd(_modules, errors) {
    const messages = errors.map((error) => error.message ?? String(error));
    writeFileSync(UNHANDLED_FILE, JSON.stringify(messages));
  }
}
