import type { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import { JobEvents } from './events.js';
import type { MaintenancePlatform } from './MachineClient.js';
import { UnreadableRecords } from './UnreadableRecords.js';
import { WaveRequests } from './WaveRequests.js';

/** Dependencies of `MaintenanceWaves`, provided by the instance. */
export interface MaintenanceServices {
  readonly platform: MaintenancePlatform;
  readonly requests: WaveRequests;
  /** Prefix of the keys of the requests. */
  readonly requestPrefix: string;
  /** Name of this instance. */
  readonly instance: string;
  readonly unreadable: UnreadableRecords;
}

export function createMaintenanceServices(
  platform: MaintenancePlatform,
  requestPrefix: string,
  instance: string,
  log: EventLog,
  counters: RunCounters,
): MaintenanceServices {
  const requests = new WaveRequests(requestPrefix, platform.decodeRequest, (wave, message) => {
    counters.unreadableRecords += 1;
    log.emit(JobEvents.waveUnreadable, { wave, message });
  });
  const unreadable = new UnreadableRecords(log, counters);
  return { platform, requests, requestPrefix, instance, unreadable };
}
