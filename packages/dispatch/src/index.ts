/** Job scheduling on runners, free of I/O: order, placement, reclaim, retries, recovery. */
export { isFinal, JobState } from './Job.js';
export type { Account, Advice, JobSpecification, Queue, Step } from './Job.js';
export type { AdviceExchange, PermitSummary } from './AdviceExchange.js';
export type { AdviceAnswer, AdviceQuestion, NamedRunner } from './Permits.js';
export type { Resources } from './Resources.js';
export { decideAdmission } from './Admission.js';
export type { Admission, QueueStatus } from './Admission.js';
export { Dispatcher } from './Dispatcher.js';
export type { Commands } from './Commands.js';
export type {
  DecisionFields,
  DecisionKind,
  DecisionLog,
  DispatchBounds,
  DispatchPolicy,
  StartCommand,
  StopCommand,
} from './DispatchState.js';
export { defaultPolicy } from './DispatchState.js';
export { CrashSuspicion } from './CrashHistory.js';
export { EndEvidence } from './EndEvidence.js';
export { StartOutcome } from './StartOutcome.js';
export { RunEnd } from './TaskGroupLifecycle.js';
export { RunCounters } from './RunCounters.js';
export type { EndedTask, RunnerReport, RunningTask } from './ReportHandler.js';
export type {
  MachineStatus,
  MaintenanceCall,
  MaintenanceView,
  MaintenanceWave,
  PendingCall,
  PreparedRunner,
} from './MaintenancePlan.js';
export type { RunnerMaintenance } from './RunnerMaintenance.js';
export { slowestClockRate } from './leases.js';
export type { ListedRunner } from './ListedRunner.js';
export type { Runner } from './Runner.js';
export type { JobRun } from './JobRun.js';
export { createProgressRecord } from './ProgressRecord.js';
export type { LearnedState } from './LearnedState.js';
export type { ProgressRecord, StoredProgress } from './ProgressRecord.js';
