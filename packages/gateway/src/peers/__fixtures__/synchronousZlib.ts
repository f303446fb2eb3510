/** Replaces Node's asynchronous zlib calls by synchronous ones, since its worker threads do not follow a fake clock. */
import type * as zlibModule from 'node:zlib';

type Zlib = typeof zlibModule;
type InputType = zlibModule.InputType;
type Callback<Result> = (error: Error | null, result?: Result) => void;

const synchronous =
  <Options, Result>(operation: (input: InputType, options?: Options) => Result) =>
  (input: InputType, options: Options, done: Callback<Result>): void => {
    let result: Result;
    try {
      result = operation(input, options);
    } catch (error) {
      done(error as Error);
      return;
    }
    done(null, result);
  };

/** For `vi.mock('node:zlib', synchronousZlib)`, in tests that compress records on a fake clock. */
export const synchronousZlib = async (original: () => Promise<Zlib>) => {
  const zlib = await original();
  return {
    ...zlib,
    deflateRaw: synchronous(zlib.deflateRawSync),
    inflateRaw: synchronous(zlib.inflateRawSync),
  };
};
