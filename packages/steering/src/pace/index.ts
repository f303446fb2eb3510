export { MAX_PACE, atUsualPace, costRatio, crediblePace, lateAfterMs } from './expectedTime';
export type { SlowTarget } from './ejection';
export { selectEjected } from './ejection';
export type { HeardPace, SlowFinding } from './knownPaces';
export { FINDING_VALID_MS, KnownPaces } from './knownPaces';
export type { Ejection, EjectionChange, ServicePaceOptions } from './servicePace';
export { ServicePace } from './servicePace';
