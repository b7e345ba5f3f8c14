import type { EventKind } from '@apricothoist/telemetry';
import { EventLevel } from '@apricothoist/telemetry';

const { info, warn, error } = EventLevel;

/** Every event that the daemon logs. docs/EVENTS.md explains each. */
export const EventKinds = {
  started: { code: 100, level: info, text: 'instance started' },
  ready: { code: 101, level: info, text: 'instance ready' },
  stopping: { code: 102, level: info, text: 'graceful stop begun' },
  stopped: { code: 103, level: info, text: 'instance stopped' },
  startFailed: { code: 104, level: error, text: 'instance could not start' },
  configurationAdopted: { code: 200, level: info, text: 'configuration in force' },
  configurationRejected: { code: 201, level: error, text: 'configuration not readable' },
  configurationPublished: { code: 202, level: info, text: 'configuration accepted' },
  configurationConflict: { code: 203, level: warn, text: 'configuration change lost a race' },
  storeStateChanged: { code: 300, level: warn, text: 'state of the store changed' },
  instanceListUnreadable: { code: 301, level: warn, text: 'instance list not readable' },
  membersChanged: { code: 400, level: info, text: 'instances changed' },
  meshRejected: { code: 401, level: warn, text: 'mesh link or frame refused' },
  leadershipGained: { code: 500, level: info, text: 'schedules this data centre' },
  leadershipLost: { code: 501, level: warn, text: 'no longer schedules this data centre' },
  planAdopted: { code: 502, level: info, text: 'new plan in force' },
  planConflict: { code: 503, level: info, text: 'plan changed by another instance' },
  planUnknown: { code: 504, level: warn, text: 'outcome of a plan write not known' },
  guaranteeShortfall: { code: 505, level: error, text: 'guarantees cannot be met' },
  guaranteesMet: { code: 506, level: info, text: 'all guarantees can be met again' },
  renewingInOutage: { code: 507, level: warn, text: 'renews leases during a store outage' },
  jobSubmitted: { code: 508, level: info, text: 'job submitted' },
  jobEnded: { code: 509, level: info, text: 'job ended' },
  requestRefused: { code: 600, level: info, text: 'request refused' },
  callerRejected: { code: 601, level: warn, text: 'caller credential refused' },
  operatorRejected: { code: 602, level: warn, text: 'operator credential refused' },
  endpointLeaving: { code: 603, level: info, text: 'endpoint leaving' },
  internalError: { code: 900, level: error, text: 'unexpected error' },
} as const satisfies Record<string, EventKind>;
