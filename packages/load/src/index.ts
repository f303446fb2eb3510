export type { LoadPlan, LoadReport, Mix, ServiceReport } from './run';
export { runLoad } from './run';
export type { PlacingRule, PlayedLoadOptions, PlayedReport } from './player/play';
export { anyWithRoom, playLoad, productRule, seeded } from './player/play';
export type { CrashPlayReport, PlayedCrashes } from './player/crashOptions';
export { playCrashes } from './player/crashes';
