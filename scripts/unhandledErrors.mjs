// A vitest reporter that notes errors outside of any test. They make vitest's
// exit code 1 as a failed test does; while a listed test fails, that code alone
// cannot tell them apart.
import { writeFileSync } from 'node:fs';

/** Where the errors' messages are kept for the summary. */
export const UNHANDLED_FILE = '.vitest-unhandled.json';

export default class UnhandledErrors {
  onTestRunEnd(_modules, errors) {
    const messages = errors.map((error) => error.message ?? String(error));
    writeFileSync(UNHANDLED_FILE, JSON.stringify(messages));
  }
}
