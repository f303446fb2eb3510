/** Programs compiled with and without V8's code cache. */
import { copyFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { beforeEach, describe, expect, it } from 'vitest';
import { cacheFileOf, compileProgram, runProgram } from '..';

const SOURCE =
  'globalThis.launched = { path: require("node:path").basename(__filename), own: module.exports === exports };';

let file: string;

const launched = () => (globalThis as { launched?: unknown }).launched;

beforeEach(() => {
  file = join(mkdtempSync(join(tmpdir(), 'launcher-')), 'program.cjs');
  writeFileSync(file, SOURCE);
});

describe('a launched program', () => {
  it('runs as Node would run it, without a cache and with one', () => {
    const first = compileProgram(file);
    expect(first.cache).toBe('missing');
    runProgram(first);
    expect(launched()).toEqual({ path: 'program.cjs', own: true });
    writeFileSync(cacheFileOf(file), first.script.createCachedData());
    const second = compileProgram(file);
    expect(second.cache).toBe('used');
    runProgram(second);
    expect(launched()).toEqual({ path: 'program.cjs', own: true });
  });

  it('runs though its cache is of another program or broken', () => {
    // Symptom: no instance starts after an update. Sequence: the program is
    // replaced, the cache beside it is not. Cause: a cache that is believed
    // without a check; V8 checks it, and the program is compiled anew.
    const other = join(file, '..', 'other.cjs');
    copyFileSync(file, other);
    writeFileSync(other, `${SOURCE} globalThis.launched.more = true;`);
    writeFileSync(cacheFileOf(other), compileProgram(file).script.createCachedData());
    const program = compileProgram(other);
    expect(program.cache).toBe('rejected');
    runProgram(program);
    expect(launched()).toMatchObject({ more: true });
    const third = join(file, '..', 'third.cjs');
    writeFileSync(third, `${SOURCE} globalThis.launched.third = true;`);
    writeFileSync(cacheFileOf(third), 'not a cache');
    const broken = compileProgram(third);
    expect(broken.cache).toBe('rejected');
    runProgram(broken);
    expect(launched()).toMatchObject({ third: true });
  });
});
