/** `node launcher.cjs [--write-cache] PROGRAM ARGUMENTS`: see the package's README. */
import { writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { cacheFileOf, compileProgram, runProgram } from './codeCache';

const WRITE_CACHE = '--write-cache';

const launch = (path: string, programArguments: readonly string[]): void => {
  const program = compileProgram(resolve(path));
  process.argv = [process.argv[0], program.file, ...programArguments];
  if (program.cache !== 'used') {
    const message = `code cache ${program.cache}; build again with the flags of this start`;
    process.stdout.write(`${JSON.stringify({ level: 'warn', message, file: program.file })}\n`);
  }
  runProgram(program);
};

/** Runs the program's loading, so that the cache holds what it compiles, and writes it. */
const writeCache = (path: string): void => {
  const program = compileProgram(resolve(path));
  process.argv = [process.argv[0], program.file, '--version'];
  runProgram(program);
  writeFileSync(cacheFileOf(program.file), program.script.createCachedData());
};

const [first, ...rest] = process.argv.slice(2);
if (first === WRITE_CACHE) writeCache(rest[0]);
else launch(first, rest);
