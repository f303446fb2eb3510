/** Which requests are blamed for crashes. */
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { callerDigest, requestDigest } from '@cardamomladder/types';
import type { SuspectedCrash } from '../attribution';
import { anyCallerSuspect, attributeCrashes, callerSuspect } from '../attribution';

/** A crash with the given requests in flight, each written as its name or as name/caller. */
const crash = (...requests: string[]): SuspectedCrash =>
  new Set(
    requests.flatMap((text) => {
      const [name, caller = 'c'] = text.split('/');
      const asked = { request: requestDigest(name), caller: callerDigest(caller) };
      return [anyCallerSuspect(asked.request), callerSuspect(asked)];
    }),
  );
const blamed = (...crashes: SuspectedCrash[]): string[] =>
  [...attributeCrashes(crashes).causes].sort();

describe('crashes', () => {
  it('are blamed on a request that was in flight at three of them', () => {
    expect(blamed(crash('x', 'a'), crash('x', 'b'))).toEqual([]);
    expect(blamed(crash('x', 'a'), crash('x', 'b'), crash('c', 'x'))).toEqual(['x/c']);
  });

  it('are blamed on the request of one caller, until it crashes targets for another caller', () => {
    const fromOneCaller = [crash('x/c'), crash('x/c'), crash('x/c', 'a')];
    expect(blamed(...fromOneCaller)).toEqual(['x/c']);
    expect(blamed(...fromOneCaller, crash('x/d'))).toEqual(['x']);
  });

  it('are blamed on a request that comes from a different address each time', () => {
    // Guards against targets that keep crashing by the dozen while nothing is
    // blocked: the request comes from one caller after another and is only
    // recognized by its content together with its caller.
    expect(blamed(crash('x/c', 'a'), crash('x/d', 'b'), crash('x/e'))).toEqual(['x']);
  });

  it('are not blamed on other requests that reach the minimum number of crashes', () => {
    // Guards against blocking a harmless lookup for minutes: targets crash every
    // few hundred ms under another request, the lookup is repeated and is in flight
    // at three of the crashes, and is judged by crashes that the other one explains.
    const causes = blamed(
      crash('x', 'a'),
      crash('x', 'a', 'b'),
      crash('x', 'a'),
      crash('x', 'b'),
      crash('x', 'b'),
    );
    expect(causes).toEqual(['x/c']);
  });

  it('are blamed only after one more if two requests were in flight together each time', () => {
    const together = [crash('x', 'a'), crash('x', 'a'), crash('x', 'a')];
    expect(blamed(...together)).toEqual([]);
    expect(blamed(...together, crash('x'))).toEqual(['x/c']);
    expect(blamed(...together, crash('x', 'a'))).toEqual(['a/c', 'x/c']);
  });

  it('are blamed on each of two requests that crash targets separately', () => {
    const x = [crash('x'), crash('x', 'a'), crash('x')];
    const y = [crash('y', 'a'), crash('y'), crash('y', 'a')];
    expect(blamed(...x, ...y)).toEqual(['x/c', 'y/c']);
  });

  it('are eventually blamed on a second request, although the first one explains its crashes', () => {
    // Guards against a request that is blocked and released in turns: two requests
    // crash targets and are often in flight at the same crashes, so the crashes of
    // one explain those of the other.
    const x = ['x', 'x', 'x', 'x', 'x', 'x'];
    const both = [crash('x', 'y'), crash('x', 'y'), crash('x', 'y'), crash('x', 'y')];
    expect(blamed(...x.map((name) => crash(name)), ...both)).toEqual(['x/c']);
    expect(blamed(...x.map((name) => crash(name)), ...both, crash('x', 'y'))).toEqual([
      'x/c',
      'y/c',
    ]);
  });

  it('are blamed on the same requests in any order of the reports', () => {
    const anyRequest = fc.constantFrom('a/1', 'a/2', 'b/1', 'b/2', 'c/1', 'd/1');
    const anyCrash = fc.uniqueArray(anyRequest, { minLength: 1 }).map((names) => crash(...names));
    fc.assert(
      fc.property(
        fc
          .array(anyCrash, { maxLength: 12 })
          .chain((all) =>
            fc.tuple(fc.constant(all), fc.shuffledSubarray(all, { minLength: all.length })),
          ),
        ([all, shuffled]) => {
          expect(blamed(...shuffled)).toEqual(blamed(...all));
        },
      ),
    );
  });
});
