export type { LoadReply, NotRunReason, TargetFaults } from './protocol';
export { DEADLINE_HEADER, LOAD_HEADER, NOT_RUN_HEADER, REQUEST_KEY_HEADER } from './protocol';
export type { AttemptOptions, AttemptResult } from './client/forward';
export { sendAttempt } from './client/forward';
export type { Execution, TargetStandin, TargetStandinOptions } from './standin/targetStandin';
export { startTargetStandin } from './standin/targetStandin';
