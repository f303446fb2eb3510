export type {
  Fact,
  FactChange,
  FactChanges,
  FactList,
  FactRecord,
  InstanceCapacity,
  InstanceEntry,
  RegistrationLease,
  Store,
  StoreFailure,
  TargetEntry,
} from './facts';
export type { BeliefChange } from './beliefs';
export { Beliefs } from './beliefs';
export { ChangeLog } from './changeLog';
export type {
  Follower,
  FollowerOptions,
  PeerAnswer,
  PeerQuestion,
  PeerWatch,
  StoreStatus,
} from './follower';
export type { RegisteredInstance } from './relay';
export { INSTANCES_PER_RELAY, relayOf } from './relay';
export { WATCH_WAIT_MS, follow } from './follower';
export type { Registration, RegistrationOptions } from './registration';
export { REGISTRATION_TTL_MS, RENEW_EVERY_MS, startRegistration } from './registration';
