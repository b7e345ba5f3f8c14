/** Job scheduling on runners, free of I/O: order, placement, reclaim, retries, recovery. */
export { isFinal, JobState } from './Job.js';
export type { Account, JobSpecification, Queue, Step } from './Job.js';
export type { Resources } from './Resources.js';
export { decideAdmission } from './Admission.js';
export type { Admission, QueueOutlook } from './Admission.js';
export { Dispatcher } from './Dispatcher.js';
export type { Orders } from './Dispatcher.js';
export type {
  DecisionFields,
  DecisionKind,
  DecisionLog,
  DispatchBounds,
  DispatchPolicy,
  StartOrder,
  StopOrder,
} from './DispatchState.js';
export { defaultPolicy } from './DispatchState.js';
export { RunEnd, StartOutcome } from './UnitLifecycle.js';
export type { EndedTask, RunnerReport, RunningTask } from './ReportReader.js';
export type { ListedRunner, Runner } from './Runner.js';
export type { JobRun } from './JobRun.js';
export { recordProgress } from './ProgressRecord.js';
export type { Experience } from './Experience.js';
export type { ProgressRecord } from './ProgressRecord.js';
