/** Compiling and running programs with and without V8's code cache. */
import { copyFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { beforeEach, describe, expect, it } from 'vitest';
import { cacheFilePath, compileProgram, runProgram } from '..';

const SOURCE =
  'globalThis.launched = { path: require("node:path").basename(__filename), own: module.exports === exports };';

let file: string;

const launchedProgram = () => (globalThis as { launched?: unknown }).launched;

beforeEach(() => {
  file = join(mkdtempSync(join(tmpdir(), 'launcher-')), 'program.cjs');
  writeFileSync(file, SOURCE);
});

describe('a launched program', () => {
  it('runs as Node.js would run it, with and without a cache', () => {
    const first = compileProgram(file);
    expect(first.cache).toBe('missing');
    runProgram(first);
    expect(launchedProgram()).toEqual({ path: 'program.cjs', own: true });
    writeFileSync(cacheFilePath(file), first.script.createCachedData());
    const second = compileProgram(file);
    expect(second.cache).toBe('used');
    runProgram(second);
    expect(launchedProgram()).toEqual({ path: 'program.cjs', own: true });
  });

  it('runs when its cache belongs to another program or is corrupt', () => {
    // Guards against instances failing to start after an update that replaces
    // the program but not its cache, which must not be trusted unchecked: V8
    // rejects it, and the program is recompiled.
    const other = join(file, '..', 'other.cjs');
    copyFileSync(file, other);
    writeFileSync(other, `${SOURCE} globalThis.launched.more = true;`);
    writeFileSync(cacheFilePath(other), compileProgram(file).script.createCachedData());
    const program = compileProgram(other);
    expect(program.cache).toBe('rejected');
    runProgram(program);
    expect(launchedProgram()).toMatchObject({ more: true });
    const third = join(file, '..', 'third.cjs');
    writeFileSync(third, `${SOURCE} globalThis.launched.third = true;`);
    writeFileSync(cacheFilePath(third), 'not a cache');
    const broken = compileProgram(third);
    expect(broken.cache).toBe('rejected');
    runProgram(broken);
    expect(launchedProgram()).toMatchObject({ third: true });
  });
});
