import type { Clock, Random } from '@apricothoist/common';
import type { DispatchBounds, RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import type { AdviceClient } from './AdviceClient.js';
import type { CoordinationStore } from './CoordinationStore.js';
import type { EvacuationRequests } from './EvacuationRequests.js';
import type { JobUpdate } from './FeedUpdateBuffer.js';
import type { LoadLimit } from './LoadLimit.js';
import type { MaintenanceServices } from './MaintenanceServices.js';
import type { RunnerClient } from './RunnerClient.js';
import type { RunnerRegistry } from './RunnerRegistry.js';

/** Dependencies of `Scheduling`, provided by the instance. */
export interface SchedulingServices {
  readonly store: CoordinationStore;
  readonly registry: RunnerRegistry;
  readonly runners: RunnerClient;
  /** Undefined if the settings name no advice service. */
  readonly advice?: AdviceClient;
  readonly clock: Clock;
  /** Clock that never runs ahead; leases of runners are judged by it. */
  readonly steadyClock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly bounds: DispatchBounds;
  readonly counters: RunCounters;
  /** Requests of the operator to evacuate data centres. */
  readonly evacuations: EvacuationRequests;
  /** Absent where the platform has no interface for the maintenance of machines. */
  readonly maintenance?: MaintenanceServices | undefined;
  /** Fencing token while the lease is valid, undefined otherwise. */
  readonly token: () => number | undefined;
  readonly resign: (reason: string) => void;
  /** Gives the leadership to another instance. */
  readonly transfer: (reason: string) => void;
  readonly loadLimit: LoadLimit;
  /** Cores of the strongest connected instance, this one included; 0 before the first update. */
  readonly strongestCores: () => number;
  readonly publish: (update: JobUpdate) => void;
}
