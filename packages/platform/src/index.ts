/** Clients of the platform: the key-value service, the instance list and the workers. */
export { absentVersion } from './Store.js';
export type {
  Store,
  StoreChanges,
  StoredValue,
  StoreTransport,
  StoreWrite,
  Versioned,
} from './Store.js';
export { StoreError, StoreErrorKind } from './StoreError.js';
export { CallBudget } from './CallBudget.js';
export { CallOutcome, StoreHealth, StoreState } from './StoreHealth.js';
export { BudgetedStore } from './BudgetedStore.js';
export type { StoreLimits } from './BudgetedStore.js';
export { HttpStoreTransport } from './HttpStoreTransport.js';
export { StoreWatch } from './StoreWatch.js';
export { InstanceRole, ListedState } from './InstanceList.js';
export type { InstanceList, ListedInstance } from './InstanceList.js';
export { InstanceListError, InstanceListErrorKind } from './InstanceListError.js';
export { HttpInstanceList } from './HttpInstanceList.js';
export { TaskPhase, TaskState, workerReportSchema } from './WorkerClient.js';
export type {
  TaskAssignment,
  WorkerAssignment,
  WorkerClient,
  WorkerReport,
} from './WorkerClient.js';
export { WorkerError, WorkerErrorKind } from './WorkerError.js';
export { HttpWorkerClient } from './HttpWorkerClient.js';
export { AgentPool } from './AgentPool.js';
export { hasExpired, httpCall, HttpError, HttpErrorKind } from './httpCall.js';
export type { DeadlineExtension, HttpResponse, HttpCall } from './httpCall.js';
