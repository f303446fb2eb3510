export type { LoadPlan, LoadReport, Mix, ServiceReport } from './run';
export { runLoad } from './run';
