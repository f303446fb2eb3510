export { mostInWindow } from './mostInWindow';
export type { LoadPlan, LoadReport, Mix, ServiceReport } from './run';
export { runLoad } from './run';
export type { PlayedLoadOptions, PlayedReport } from './player/play';
export { playLoad, seeded } from './player/play';
export type { PlacingRule } from './player/placingRules';
export { anyWithRoom, productRule } from './player/placingRules';
export type { CrashPlayReport, PlayedCrashes } from './player/crashOptions';
export { playCrashes } from './player/crashes';
