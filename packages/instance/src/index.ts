/** Job instance: job submission and state, leader election, recovery, and calls to runners. */
export { JobInstance } from './JobInstance.js';
export type { InstanceServices, InstanceSettings } from './JobInstance.js';
export { absentRevision, CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
export type {
  CommitResult,
  CoordinationStore,
  StoredItem,
  StoredItems,
  StoredPage,
  Transaction,
} from './CoordinationStore.js';
export { MachineError, MaintenanceOutcome } from './MachineClient.js';
export type { MachineCaller, MachineClient, MaintenancePlatform } from './MachineClient.js';
export type { WaveRequest } from './WaveRequests.js';
export { AdviceError, AdviceErrorKind } from './AdviceClient.js';
export type { AdviceClient } from './AdviceClient.js';
export { RunnerError, RunnerErrorKind } from './RunnerClient.js';
export type { ReportRequest, RunnerClient, StartRequest } from './RunnerClient.js';
export type { RegistryEntry, RegistryListing, RunnerRegistry } from './RunnerRegistry.js';
export type { OperatorConfiguration, OperatorKeys, Route } from './OperatorConfiguration.js';
export { Lookup, SubmitOutcome } from './requestResults.js';
export type { StateResult, SubmitResult } from './requestResults.js';
export { JobEvents } from './events.js';
export { SuspendAwareClock } from './SuspendAwareClock.js';
export { InstanceMetrics } from './InstanceMetrics.js';
export {
  countTasks,
  decodeRecord,
  maxDurationMs,
  maxJobTasks,
  maxResourceAmount,
  maxStepTasks,
  maxWallMs,
  storedJobSchema,
} from './storedRecords.js';
