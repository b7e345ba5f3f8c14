import type { RunCounters } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import { adviceMetrics } from './adviceMetrics.js';
import type { ConfigurationFollower } from './ConfigurationFollower.js';
import type { EvacuationRequests } from './EvacuationRequests.js';
import type { ForwardedRequestHandler } from './ForwardedRequestHandler.js';
import type { JobService } from './JobService.js';
import type { JobStatusCache } from './JobStatusCache.js';
import { idleMaintenanceStatus } from './MaintenanceWaves.js';
import type { RunnerRegistry } from './RunnerRegistry.js';
import type { Scheduling } from './Scheduling.js';
import type { StoreAccess } from './StoreAccess.js';

/** Parts of an instance whose state is published as metrics. */
export interface InstanceParts {
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly counters: RunCounters;
  readonly jobs: JobService;
  readonly isScheduling: boolean;
  readonly scheduling: Scheduling | undefined;
  readonly followers: number;
  readonly statusCache: JobStatusCache;
  readonly evacuations: EvacuationRequests;
  readonly configurationFollower: ConfigurationFollower;
  readonly services: { readonly log: EventLog; readonly registry: RunnerRegistry };
  readonly storeAccess: StoreAccess;
  readonly forwardedRequests: ForwardedRequestHandler;
}

/** Values of the gauge `apricothoist_job_instance`. */
export function describeInstance(parts: InstanceParts): Readonly<Record<string, number>> {
  const { ends, overlaps, unsettledStarts, crashes, crashingJobs } = parts.counters;
  const { configurationFollower, statusCache, forwardedRequests } = parts;
  const loadCost = parts.scheduling?.loadCost;
  const progress = parts.scheduling?.progress;
  const speedClasses = parts.scheduling?.dispatcher.state.speedClasses;
  return {
    run_ends_reported: ends.reported,
    run_ends_refused: ends.refused,
    run_ends_absent: ends.absent,
    run_ends_lease_expired: ends.leaseExpired,
    runs_overlapping: overlaps,
    starts_unsettled: unsettledStarts,
    runners_crashed: crashes,
    runner_entries_invalid: parts.services.registry.invalidEntries,
    runner_entries_contradictory: parts.counters.contradictoryEntries,
    jobs_given_up: crashingJobs,
    records_unreadable: parts.counters.unreadableRecords,
    unexpected_errors: parts.counters.unexpectedErrors,
    jobs_held: parts.scheduling?.heldJobs.size ?? 0,
    tombstones: parts.scheduling?.tombstones.size ?? 0,
    ...parts.jobs.status,
    ...adviceMetrics(parts.counters, parts.scheduling?.dispatcher.advice.summarize(parts.now)),
    scheduling: parts.isScheduling ? 1 : 0,
    stored_state_loaded: loadCost === undefined ? 0 : 1,
    stored_state_load_milliseconds: loadCost?.tookMs ?? 0,
    stored_state_load_bytes: loadCost?.bytes ?? 0,
    progress_unstored_jobs: progress?.unstoredJobs ?? 0,
    starts_waiting_for_store: progress?.waitingStarts.length ?? 0,
    start_store_wait_milliseconds_max: progress?.maxStartWaitMs ?? 0,
    followers: parts.followers,
    jobs_known: statusCache.size,
    runner_speed_classes: speedClasses?.levels.length ?? 0,
    runner_speed_slowest: speedClasses?.levels[0] ?? 0,
    runner_speed_fastest: speedClasses?.levels.at(-1) ?? 0,
    data_centres_evacuated: parts.evacuations.dataCentres.size,
    ...(parts.scheduling?.maintenance?.status ?? idleMaintenanceStatus),
    board_age_milliseconds: Math.round(statusCache.ageMs),
    configuration_version: configurationFollower.current?.version ?? 0,
    configuration_age_milliseconds: Math.round(configurationFollower.ageMs),
    configuration_bytes: configurationFollower.sizeBytes,
    log_lines_dropped: parts.services.log.droppedLines,
    ...parts.storeAccess.status,
    forwarded_requests_served: forwardedRequests.counts.served,
    forwarded_requests_rejected: forwardedRequests.counts.rejected,
  };
}
