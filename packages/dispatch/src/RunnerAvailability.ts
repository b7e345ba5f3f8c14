import type { DispatchState } from './DispatchState.js';
import type { Runner } from './Runner.js';

/** Why no task may be started on a runner. */
export const RunnerRestriction = {
  /** The registry does not list the runner. */
  unlisted: 'unlisted',
  draining: 'draining',
  /** The present incarnation has not accepted the fencing token of this scheduling instance. */
  unfenced: 'unfenced',
  /** The operator evacuates its data centre, or may do so unknown to this instance. */
  evacuated: 'evacuated',
  /** Its machine is about to have its maintenance, or has it. */
  maintenance: 'maintenance',
  /** Its capacity may have shrunk since the listing, and it does not check it itself. */
  unknownCapacity: 'unknownCapacity',
  /** The registry entry is that of an earlier incarnation. */
  outdatedEntry: 'outdatedEntry',
  /** Its clock must be read before a lease can be granted. */
  reportDue: 'reportDue',
  /** A run that no task group stands for may still start, or runs with an unknown size. */
  strayRun: 'strayRun',
  /** The last call had no response. */
  unanswered: 'unanswered',
  quarantined: 'quarantined',
} as const;
export type RunnerRestriction = (typeof RunnerRestriction)[keyof typeof RunnerRestriction];

type RestrictionCheck = (state: DispatchState, runner: Runner, now: number) => boolean;
type RestrictionChecks = readonly (readonly [RunnerRestriction, RestrictionCheck])[];

/**
 * Milliseconds for which a listing shows the capacity of runners without a check of their own. With
 * a heartbeat and the call it stays below the 4.5 s after which a start must not exceed a shrunk
 * capacity.
 */
const maxListingAgeMs = 2_000;

/** Restrictions that also hold back start commands that are already decided. */
const sendChecks: RestrictionChecks = [
  [RunnerRestriction.unlisted, (_state, runner) => !runner.isListed],
  [RunnerRestriction.draining, (_state, runner) => runner.isDraining],
  [RunnerRestriction.unfenced, (_state, runner) => !runner.isFenced],
  [
    RunnerRestriction.evacuated,
    (state, { listed }, now) => state.evacuations.isClosed(listed.dataCentre, now),
  ],
  [RunnerRestriction.maintenance, (state, { id }) => state.maintenance.has(id)],
  [
    RunnerRestriction.unknownCapacity,
    (state, runner, now) => !hasKnownCapacity(state, runner, now),
  ],
];

/** Restrictions of new placements and reservations, on top of `sendChecks`. */
const placementChecks: RestrictionChecks = [
  [RunnerRestriction.outdatedEntry, (_state, runner) => runner.isEntryOutdated],
  [RunnerRestriction.reportDue, (_state, runner) => runner.isReportDue],
  [RunnerRestriction.strayRun, (_state, runner) => runner.isBlockedByStray],
  [RunnerRestriction.unanswered, (_state, runner) => runner.unansweredCalls > 0],
  [RunnerRestriction.quarantined, (_state, runner, now) => runner.quarantinedUntil > now],
];

/** First restriction that holds back a start command that is about to be sent, if any. */
export function sendRestriction(
  state: DispatchState,
  runner: Runner,
  now: number,
): RunnerRestriction | undefined {
  return sendChecks.find(([, isRestricted]) => isRestricted(state, runner, now))?.[0];
}

/** First restriction that keeps new tasks off the runner, if any. */
export function placementRestriction(
  state: DispatchState,
  runner: Runner,
  now: number,
): RunnerRestriction | undefined {
  return (
    sendRestriction(state, runner, now) ??
    placementChecks.find(([, isRestricted]) => isRestricted(state, runner, now))?.[0]
  );
}

/** Whether new tasks may start on the runner. */
export function isUsable(state: DispatchState, runner: Runner, now: number): boolean {
  return placementRestriction(state, runner, now) === undefined;
}

/**
 * Whether the runner counts as capacity for the work ahead. A fault that lasts seconds does not
 * take it away; an operator's request or its departure does.
 */
export function isLastingCapacity(state: DispatchState, runner: Runner): boolean {
  const { isListed, isDraining, listed } = runner;
  return isListed && !isDraining && !state.evacuations.isRequested(listed.dataCentre);
}

// A runner without a check of its own starts what exceeds its capacity.
function hasKnownCapacity(state: DispatchState, runner: Runner, now: number): boolean {
  if (!state.unguardedServices.has(runner.listed.service)) {
    return true;
  }
  const { cpu, memoryMb, accelerators } = runner.freeCapacity;
  return (
    now - state.listingRequestedAt <= maxListingAgeMs && Math.min(cpu, memoryMb, accelerators) >= 0
  );
}
