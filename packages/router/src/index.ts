/** Request routing: admission, fair queueing, endpoint selection, retries, at-most-once sending. */
export { AttemptOutcome, RefusalReason } from './RequestDescriptor.js';
export type {
  AttemptResult,
  Refusal,
  RouteResult,
  RequestDescriptor,
} from './RequestDescriptor.js';
export { FairQueue } from './FairQueue.js';
export type { QueuedRequestOptions, WeightOf } from './FairQueue.js';
export { admit, expectedWaitMs } from './Admission.js';
export type { AdmissionState } from './Admission.js';
export { ServiceTimeEstimator } from './ServiceTimeEstimator.js';
export { RetryBudget } from './RetryBudget.js';
export { Endpoint, endpointChart, EndpointEvent, EndpointState } from './Endpoint.js';
export { EndpointTable } from './EndpointTable.js';
export type { EndpointInfo } from './EndpointTable.js';
export { ClaimResult } from './RouterCollaborators.js';
export type { EndpointSender, PeerForwarder, RequestClaims } from './RouterCollaborators.js';
export { RequestRouter } from './RequestRouter.js';
export type { RouterDependencies, ServiceLimits } from './RequestRouter.js';
