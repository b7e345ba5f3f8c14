/** I/O-free scheduler for the workers of one data centre. */
export { Scheduler } from './Scheduler.js';
export type { SchedulerDecision, SchedulerInput } from './Scheduler.js';
export {
  acceleratorsOf,
  createJob,
  createPlan,
  fitsInside,
  planSchema,
  shapeSchema,
} from './Plan.js';
export type {
  Attempt,
  EstimateRecord,
  Job,
  JobRequest,
  PlacedTask,
  Plan,
  Shape,
  WorkerRecord,
} from './Plan.js';
export {
  attemptChart,
  AttemptEvent,
  AttemptState,
  jobChart,
  JobEvent,
  JobState,
} from './charts.js';
export { Capacity } from './Capacity.js';
export type { WorkerShare, WorkerView } from './Capacity.js';
export { candidatePlacements, fillBestFit, GuaranteeFeasibility } from './GuaranteeFeasibility.js';
export type { GuaranteeUnit, GuaranteeAssignment } from './GuaranteeFeasibility.js';
export { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
export type { GuaranteeEntry } from './GuaranteeLedger.js';
export { PlacementSearch } from './PlacementSearch.js';
export { lostWorkOf, allocateTasks, ReclaimSearch, releaseTasks } from './ReclaimSearch.js';
export { applyChanges, findInfeasibilityReason, PlanChangeKind } from './PlanChange.js';
export type { PlanChange } from './PlanChange.js';
export { assignmentsOf, isRenewable } from './assignments.js';
export type { AssignedPhase, PlannedTask } from './assignments.js';
export type {
  ObservationLimits,
  Observations,
  ObservedState,
  TaskObservation,
  WorkerObservation,
} from './observe.js';
export { describeShape } from './reasons.js';
export { fragmentationOf } from './fragmentation.js';
export { isQuarantined } from './WorkerHistory.js';
