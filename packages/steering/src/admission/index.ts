/** Admission: who waits for a slot, in which order, and when refused callers come back. */
export type { OrderedRequest } from './order';
export { MAX_OVERTAKING_MS, goesBefore } from './order';
export type { Turn, TurnRequest } from './turns';
export { MAX_TURN_SHARE, MIN_TURN_MS, Turns } from './turns';
export type { AdmissionRequest, Judgement, RefusedRequest } from './serviceAdmission';
export { MAX_WAITING, ServiceAdmission } from './serviceAdmission';
export { NO_SPILLOVER } from './noSpillover';
