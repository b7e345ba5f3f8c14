/** The core of an entry instance, for hosts other than the daemon's own process. */
export { ConfigurationCache } from './ConfigurationCache.js';
export { PublishErrorKind } from './ConfigurationStore.js';
export type {
  ResponseContent,
  CoreServices,
  CoreSettings,
  RequestContent,
  ServiceSender,
} from './CoreServices.js';
export { EntryCore } from './EntryCore.js';
export { LeaderLease } from './LeaderLease.js';
export { PlanRepository, planPrefix } from './PlanRepository.js';
export { RenewalFence } from './RenewalFence.js';
export { ServiceRouters } from './ServiceRouters.js';
export { StoreClaims } from './StoreClaims.js';
export { workerTimeoutMs, taskLeaseMs, WorkerGateway } from './WorkerGateway.js';
