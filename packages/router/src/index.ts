/** Request routing: admission, fair queues, endpoint choice, retries and at-most-once sending. */
export { AttemptOutcome, RefusalReason } from './Ticket.js';
export type { AttemptResult, Refusal, RouteResult, Ticket } from './Ticket.js';
export { FairQueue } from './FairQueue.js';
export type { TicketOptions, WeightOf } from './FairQueue.js';
export { admit, expectedWaitMs } from './Admission.js';
export type { AdmissionState } from './Admission.js';
export { ServiceRate } from './ServiceRate.js';
export { RetryBudget } from './RetryBudget.js';
export { Endpoint, endpointChart, EndpointEvent, EndpointState } from './Endpoint.js';
export { EndpointTable } from './EndpointTable.js';
export type { EndpointNotice } from './EndpointTable.js';
export { ClaimResult } from './RouterServices.js';
export type { EndpointSender, PeerForwarder, RequestClaims } from './RouterServices.js';
export { RequestRouter } from './RequestRouter.js';
export type { RouterServices, ServiceLimits } from './RequestRouter.js';
