/** Unknown and missing command line arguments. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createCommandLine, runCommandLine } from '..';

let errorLines: string[];

beforeEach(() => {
  errorLines = [];
  vi.spyOn(console, 'error').mockImplementation((line: string) => {
    errorLines.push(line);
  });
});
afterEach(() => {
  vi.restoreAllMocks();
  process.exitCode = undefined;
});

const run = (...args: string[]) => {
  runCommandLine(createCommandLine(), ['node', 'cardamomladder', ...args]);
  return { code: process.exitCode, errorLines };
};

describe('the command line', () => {
  it('rejects an unknown command and suggests the closest one', () => {
    // Guards against a mistyped command that prints nothing and exits with 0, so
    // that a script calling `cardamomladder chek settings.json` continues: cac
    // itself does not reject a command that it cannot match.
    expect(run('chek', 'settings.json')).toEqual({
      code: 2,
      errorLines: ["unknown command 'chek'; did you mean 'check'? See --help"],
    });
  });

  it('rejects an unknown option and suggests the closest one', () => {
    expect(run('entry', '--setings', 'a.json')).toEqual({
      code: 2,
      errorLines: ["Unknown option `--setings`; did you mean '--settings'? See --help"],
    });
  });

  it('rejects a command with a missing argument', () => {
    expect(run('check')).toEqual({
      code: 2,
      errorLines: ['missing required args for command `check <file>`'],
    });
  });
});
