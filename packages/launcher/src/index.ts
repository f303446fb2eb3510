export type { CacheUse, CompiledProgram } from './codeCache';
export { cacheFileOf, compileProgram, runProgram } from './codeCache';
