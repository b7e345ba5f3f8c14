import type { CapacityLedger, RunnerCapacity } from './CapacityLedger.js';
import { countFittingMembers, isEligible, isEligibleByRequirements } from './CapacityLedger.js';
import type { DispatchState } from './DispatchState.js';
import { RunnerAdvice, stepKey } from './Permits.js';
import type { Runner } from './Runner.js';
import type { TaskGroup } from './TaskGroup.js';

/** Gives each job the permits that are valid in a scheduling round: they lapse with time. */
export function updatePermits(state: DispatchState, now: number): void {
  const { usesAdvice, openJobs, permits, runners, reserved } = state;
  if (!usesAdvice) {
    return;
  }
  const reservedGroups = [...reserved];
  openJobs.forEach((job) => {
    const groups = [...job.readyGroups, ...reservedGroups.filter((group) => group.job === job)];
    const steps = job.queue.advice === undefined ? [] : new Set(groups.map(stepKey));
    job.permits = new Map([...steps].map((step) => [step, permits.validFor(step, runners, now)]));
  });
}

/** Whether the advice service has yet to be asked whether the task group may run on the runner. */
export function mayBecomeEligible(
  { permits }: DispatchState,
  group: TaskGroup,
  runner: Runner,
): boolean {
  return (
    group.job.queue.advice !== undefined &&
    !permits.isUnavailable &&
    group.permits?.has(runner.id) !== true &&
    permits.adviceOn(stepKey(group), runner) !== RunnerAdvice.bad &&
    isEligibleByRequirements(group, runner)
  );
}

/**
 * Whether the task group lacks permits rather than room: it has none yet, or the service can still
 * be asked about runners with enough room. Then nothing is preempted for it.
 */
export function awaitsAdvice(
  state: DispatchState,
  { byRack, all }: CapacityLedger,
  group: TaskGroup,
  isInOneRack: boolean,
): boolean {
  if (group.job.queue.advice === undefined) {
    return false;
  }
  const places = ({ runner, free }: RunnerCapacity): number =>
    countFittingMembers(group, runner, free);
  const couldHold = (capacities: readonly RunnerCapacity[]): boolean => {
    const open = capacities.filter(({ runner }) => mayBecomeEligible(state, group, runner));
    const known = capacities.filter(({ runner }) => isEligible(group, runner));
    return (
      open.some((capacity) => places(capacity) > 0) &&
      [...open, ...known].reduce((sum, each) => sum + places(each), 0) >= group.members.length
    );
  };
  return (
    group.permits === undefined ||
    group.permits.size === 0 ||
    (isInOneRack ? [...byRack.values()].some(couldHold) : couldHold(all))
  );
}
