export type { FaultProxy, Harm } from './faultProxy';
export { startFaultProxy } from './faultProxy';
export type { PlannedFault } from './plan';
export { FAULT_KINDS, planFaults } from './plan';
export type { Answer, Asked, RequestKind, RunSeen, Violation } from './promises';
export { Promises, STORE, storePathOf } from './promises';
export { SelfReports } from './selfReports';
export { Disturbances } from './disturbances';
