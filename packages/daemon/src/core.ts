/** The core of an entry instance, for hosts other than the daemon's own process. */
export { ConfigurationKeeper } from './ConfigurationKeeper.js';
export { PublishErrorKind } from './ConfigurationStore.js';
export type {
  AnswerContent,
  CoreServices,
  CoreSettings,
  RequestContent,
  ServiceSender,
} from './CoreServices.js';
export { EntryCore } from './EntryCore.js';
export { LeaderLease } from './LeaderLease.js';
export { PlanRepository, planPrefix } from './PlanKeeper.js';
export { RenewalFence } from './RenewalFence.js';
export { ServiceRouters } from './ServiceRouters.js';
export { StoreClaims } from './StoreClaims.js';
export { lostAfterMs, taskLeaseMs, WorkerGateway } from './WorkerGateway.js';
