import type { EventKind } from '@apricothoist/telemetry';
import { EventLevel } from '@apricothoist/telemetry';

const { info, warn, error } = EventLevel;

/** All log events of the daemon, documented in docs/EVENTS.md. */
export const EventKinds = {
  started: { code: 100, level: info, text: 'instance started' },
  ready: { code: 101, level: info, text: 'instance ready' },
  stopping: { code: 102, level: info, text: 'graceful shutdown started' },
  stopped: { code: 103, level: info, text: 'instance stopped' },
  startFailed: { code: 104, level: error, text: 'instance could not start' },
  configurationAdopted: { code: 200, level: info, text: 'configuration adopted' },
  configurationRejected: { code: 201, level: error, text: 'configuration rejected' },
  configurationPublished: { code: 202, level: info, text: 'configuration published' },
  configurationConflict: {
    code: 203,
    level: warn,
    text: 'configuration change conflicts with another',
  },
  storeStateChanged: { code: 300, level: warn, text: 'store state changed' },
  instanceListUnreadable: { code: 301, level: warn, text: 'instance list unreadable' },
  membersChanged: { code: 400, level: info, text: 'mesh members changed' },
  meshRejected: { code: 401, level: warn, text: 'mesh link or frame rejected' },
  leadershipGained: { code: 500, level: info, text: 'started scheduling this data centre' },
  leadershipLost: { code: 501, level: warn, text: 'stopped scheduling this data centre' },
  planAdopted: { code: 502, level: info, text: 'new plan adopted' },
  planConflict: { code: 503, level: info, text: 'plan changed by another instance' },
  planUnknown: { code: 504, level: warn, text: 'plan write outcome unknown' },
  guaranteeShortfall: { code: 505, level: error, text: 'guarantees cannot be met' },
  guaranteesMet: { code: 506, level: info, text: 'all guarantees can be met again' },
  renewingInOutage: { code: 507, level: warn, text: 'renewing task leases during a store outage' },
  jobSubmitted: { code: 508, level: info, text: 'job submitted' },
  jobEnded: { code: 509, level: info, text: 'job ended' },
  requestRefused: { code: 600, level: info, text: 'request refused' },
  callerRejected: { code: 601, level: warn, text: 'caller credential rejected' },
  operatorRejected: { code: 602, level: warn, text: 'operator credential rejected' },
  endpointLeaving: { code: 603, level: info, text: 'endpoint leaving' },
  internalError: { code: 900, level: error, text: 'unexpected error' },
} as const satisfies Record<string, EventKind>;
