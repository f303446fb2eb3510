/** Node's zlib, whose asynchronous calls end before any time passes: its threads know no fake clock. */
import type * as zlibModule from 'node:zlib';

type Zlib = typeof zlibModule;
type InputType = zlibModule.InputType;
type Done<Result> = (error: Error | null, result?: Result) => void;

const atOnce =
  <Options, Result>(work: (input: InputType, options?: Options) => Result) =>
  (input: InputType, options: Options, done: Done<Result>): void => {
    let result: Result;
    try {
      result = work(input, options);
    } catch (error) {
      done(error as Error);
      return;
    }
    done(null, result);
  };

/** For `vi.mock('node:zlib', zlibAtOnce)`, in tests that play the packing of facts on a fake clock. */
export const zlibAtOnce = async (original: () => Promise<Zlib>) => {
  const zlib = await original();
  return {
    ...zlib,
    deflateRaw: atOnce(zlib.deflateRawSync),
    inflateRaw: atOnce(zlib.inflateRawSync),
  };
};
