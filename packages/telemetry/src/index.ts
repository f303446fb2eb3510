export type { LogFields, Logger } from './log';
export { enableLogs, logger } from './log';
export type { EntryMetrics } from './metrics';
export { entryMetrics } from './metrics';
export { extractContext, injectContext, installTracing, tracer } from './trace';
