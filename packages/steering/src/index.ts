export type { Split } from './shares';
export { distance, moveToward, normalize, restrict, scheduled } from './shares';
export type { LoadReport, Staleness, TargetLoad } from './headroom';
export { DEFAULT_STALENESS, busySlots, headroom } from './headroom';
export type { Choice, Reserves, TargetView } from './service';
export { ServiceSteering } from './service';
