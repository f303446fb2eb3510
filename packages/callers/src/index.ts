export type { EntriesReply, EntryAddress, ErrorReply, Outcome } from './protocol';
export {
  ATTEMPTS_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  MAX_REQUEST_BYTES,
  OUTCOME_HEADER,
  SERVED_BY_HEADER,
} from './protocol';
export type { CallResult } from './client';
export { Caller, discoverEntries } from './client';
