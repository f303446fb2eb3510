export type {
  ConflictReply,
  KvFaults,
  GetReply,
  KvItem,
  LeaseReply,
  ListReply,
  PutReply,
  StatsReply,
  WatchReply,
} from './protocol';
export type { KvClient, KvClientOptions } from './client/kvClient';
export { createKvClient } from './client/kvClient';
export type { WatchOptions, WatchUpdate } from './client/watch';
export { watchPrefix } from './client/watch';
export type { KvStandin } from './server/standin';
export { createKvStandin } from './server/standin';
export type { WriteOutcome } from './server/store';
export { KvStore } from './server/store';
export type { Handler, PlatformStandin } from './server/platform';
export { startPlatformStandin } from './server/platform';
