/** `node launcher.cjs [--write-cache] PROGRAM ARGUMENTS`: see the package's README. */
import { writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { cacheFilePath, compileProgram, runProgram } from './codeCache';

const WRITE_CACHE_FLAG = '--write-cache';

const launch = (path: string, programArguments: readonly string[]): void => {
  const program = compileProgram(resolve(path));
  process.argv = [process.argv[0], program.file, ...programArguments];
  if (program.cache !== 'used') {
    const message = `code cache ${program.cache}; rebuild it with the Node.js version and flags of this process`;
    process.stdout.write(`${JSON.stringify({ level: 'warn', message, file: program.file })}\n`);
  }
  runProgram(program);
};

/**
 * Writes the code cache. The program is loaded first with `--version`, so that
 * the cache includes the functions compiled while loading.
 */
const writeCache = (path: string): void => {
  const program = compileProgram(resolve(path));
  process.argv = [process.argv[0], program.file, '--version'];
  runProgram(program);
  writeFileSync(cacheFilePath(program.file), program.script.createCachedData());
};

const [first, ...rest] = process.argv.slice(2);
if (first === WRITE_CACHE_FLAG) writeCache(rest[0]);
else launch(first, rest);
