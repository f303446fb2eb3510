export type { Entry, EntryOptions } from './daemon';
export { ENTRIES_PREFIX, startEntry } from './daemon';
export type { ConfigState } from './state/config';
export { watchConfig } from './state/config';
export type { DedupDecision, DedupLimits, StoredResponse } from './state/dedup';
export { DEFAULT_DEDUP_LIMITS, DedupCache } from './state/dedup';
export { Fleet } from './state/fleet';
export { RetryBudget } from './state/retryBudget';
export { orderEntries } from './server/routes';
