export type { CacheStatus, CompiledProgram } from './codeCache';
export { cacheFilePath, compileProgram, runProgram } from './codeCache';
