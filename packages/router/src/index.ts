/** Request routing: admission, fair queueing, endpoint selection, retries, at-most-once sending. */
export { AttemptOutcome, RefusalReason } from './Ticket.js';
export type { AttemptResult, Refusal, RouteResult, Ticket } from './Ticket.js';
export { FairQueue } from './FairQueue.js';
export type { QueuedRequestOptions, WeightOf } from './FairQueue.js';
export { admit, expectedWaitMs } from './Admission.js';
export type { AdmissionState } from './Admission.js';
export { ServiceTimeEstimator } from './ServiceRate.js';
export { RetryBudget } from './RetryBudget.js';
export { Endpoint, endpointChart, EndpointEvent, EndpointState } from './Endpoint.js';
export { EndpointTable } from './EndpointTable.js';
export type { EndpointInfo } from './EndpointTable.js';
export { ClaimResult } from './RouterServices.js';
export type { EndpointSender, PeerForwarder, RequestClaims } from './RouterServices.js';
export { RequestRouter } from './RequestRouter.js';
export type { RouterDependencies, ServiceLimits } from './RequestRouter.js';
