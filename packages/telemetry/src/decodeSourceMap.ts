/**
 * Decodes the program's source map if Node.js was started with
 * `--enable-source-maps`. Otherwise Node.js decodes it when the first stack is
 * formatted, i.e. during the first failure, and no request is processed for as
 * long: 150 ms of CPU time, half a second on a quarter of a core. Call it before
 * the process accepts requests. Returns the formatted stack.
 */
export const decodeSourceMap = (): string | undefined => new Error('not an error').stack;
