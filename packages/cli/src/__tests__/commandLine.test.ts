/** Arguments that the command line does not know, or lacks. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { commandLine, runCommandLine } from '..';

let said: string[];

beforeEach(() => {
  said = [];
  vi.spyOn(console, 'error').mockImplementation((line: string) => {
    said.push(line);
  });
});
afterEach(() => {
  vi.restoreAllMocks();
  process.exitCode = undefined;
});

const run = (...args: string[]) => {
  runCommandLine(commandLine(), ['node', 'cardamomladder', ...args]);
  return { code: process.exitCode, said };
};

describe('the command line', () => {
  it('refuses an unknown command with the nearest one', () => {
    // Symptom: a mistyped command prints nothing and succeeds. Sequence: a
    // script runs `cardamomladder chek settings.json`, and goes on. Cause: a
    // command that nobody matched was nobody's to refuse.
    expect(run('chek', 'settings.json')).toEqual({
      code: 2,
      said: ["unknown command 'chek'; did you mean 'check'? See --help"],
    });
  });

  it('refuses an unknown option with the nearest one', () => {
    expect(run('entry', '--setings', 'a.json')).toEqual({
      code: 2,
      said: ["Unknown option `--setings`; did you mean '--settings'? See --help"],
    });
  });

  it('refuses a command that lacks an argument', () => {
    expect(run('check')).toEqual({
      code: 2,
      said: ['missing required args for command `check <file>`'],
    });
  });
});
