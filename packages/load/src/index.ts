export { maxInWindow } from './maxInWindow';
export type { LoadPlan, LoadRunReport, ServiceReport, ServiceWeight } from './run';
export { runLoad } from './run';
export type { LoadSimulationOptions, LoadSimulationReport } from './simulation/loadSimulation';
export { seededRandom, simulateLoad } from './simulation/loadSimulation';
export type { PaceSources } from './simulation/simulatedPace';
export type { SimulatedTarget } from './simulation/simulatedTarget';
export type { PlacementPolicy } from './simulation/placementPolicies';
export { leastBusyPolicy, productionPolicy } from './simulation/placementPolicies';
export type {
  CrashSimulationReport,
  CrashSimulationOptions,
} from './simulation/crashSimulationOptions';
export { simulateCrashes } from './simulation/crashSimulation';
export type {
  PartitionSimulationOptions,
  PartitionSimulationReport,
} from './simulation/partitionSimulation';
export { simulatePartition } from './simulation/partitionSimulation';
export type { ArrivalWindow, Arrivals } from './simulation/retries/arrivalWindows';
export { worstWindow } from './simulation/retries/arrivalWindows';
export type { RetryPlay, RetryReport, RetryStrategy } from './simulation/retries/retrySimulation';
export { simulateRetries } from './simulation/retries/retrySimulation';
export { earnedAndClaimed, equalShares, growingShares } from './simulation/retries/retryStrategies';
