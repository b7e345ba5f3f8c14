import type { DispatchState } from './DispatchState.js';
import { LastingTasks } from './LastingTasks.js';
import { MaintenanceRoom } from './MaintenanceRoom.js';
import { remainingRunMs } from './RemainingTime.js';
import type { Runner } from './Runner.js';
import type { TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';

/** A machine as its platform lists it. */
export interface MachineStatus {
  readonly machine: string;
  /** Present lifetime of the machine as a runner; undefined if there is none. */
  readonly runnerId: string | undefined;
  readonly isUp: boolean;
}

/** Machines that are to have their maintenance. */
export interface MaintenanceWave {
  readonly id: string;
  readonly machines: ReadonlySet<string>;
  /** Largest number of its machines that may be down at once. */
  readonly maxCount: number;
  /** Monotonic time by which the maintenance of every machine is to be over. */
  readonly deadline: number;
  /** Machines that need no call any more: their maintenance has begun, or the call was refused. */
  readonly settled: ReadonlySet<string>;
}

/** A call that has taken its machine down, or may still do so. */
export interface PendingCall {
  readonly wave: string;
  /** Runner on the machine when the call was decided. */
  readonly runnerId: string | undefined;
  /** Whether the call has succeeded, so that it need not be repeated. */
  readonly isAnswered: boolean;
}

/** What is known of the machines and of the waves. */
export interface MaintenanceView {
  readonly waves: readonly MaintenanceWave[];
  /** All existing machines, by name. */
  readonly machines: ReadonlyMap<string, MachineStatus>;
  /** Calls whose effect the listing of the machines may not show yet, by machine. */
  readonly pending: ReadonlyMap<string, PendingCall>;
  /** Monotonic times before which machines are not called again. */
  readonly retryAt: ReadonlyMap<string, number>;
  /** Runners that have ended with the maintenance of their machines. */
  readonly departed: ReadonlySet<string>;
  /** Milliseconds from the begin of a maintenance until a new runner joins. */
  readonly maintenanceMs: number;
  readonly maxCalls: number;
}

/** A runner on which nothing new starts, so that its machine can be taken down. */
export interface PreparedRunner {
  /** Monotonic time at which the machine is taken down, whatever still runs there. */
  readonly takeDownBy: number;
}

export interface MaintenanceCall {
  readonly wave: string;
  readonly machine: string;
  readonly runnerId: string | undefined;
}

export interface MaintenancePlan {
  /** By id of the runner. */
  readonly prepared: ReadonlyMap<string, PreparedRunner>;
  readonly stops: readonly TaskGroup[];
  readonly calls: readonly MaintenanceCall[];
}

interface Candidate {
  readonly call: MaintenanceCall;
  readonly runner: Runner | undefined;
  readonly isPending: boolean;
  /** Undefined before the runner is prepared. */
  readonly prepared: PreparedRunner | undefined;
  readonly deadline: number;
  /** Monotonic time until which its runs may go on if it is prepared now. */
  readonly takeDownBy: number;
  /** Core-milliseconds of unsaved work that the maintenance destroys. */
  readonly lostWork: number;
  /** Milliseconds until the runs that may end have ended. */
  readonly waitMs: number;
}

/** Milliseconds that a round of a wave takes beside the maintenance: listings and calls. */
const roundOverheadMs = 1_000;
/** Milliseconds between the latest end of a stop and the call that takes the machine down. */
const stopMarginMs = 400;
/**
 * Milliseconds for which a machine that is due is held back by a lasting step that cannot spare its
 * tasks; then another machine may go first. A task is started elsewhere within this time.
 */
const heldBackMs = 5_000;

/**
 * Decides which machines of the waves to prepare and which to take down, under a load that keeps
 * most runners occupied. At most `maxCount` machines of a wave are prepared or down. The machines
 * whose maintenance destroys the least work come first. Runs may go on for an equal share of the
 * time that the wave has to spare; those that save their progress are stopped just before.
 */
export function planMaintenance(
  state: DispatchState,
  view: MaintenanceView,
  now: number,
): MaintenancePlan {
  const room = new MaintenanceRoom(state, view);
  const lasting = new LastingTasks();
  const prepared = new Map<string, PreparedRunner>();
  restrictedRunners(view).forEach((id) =>
    prepared.set(id, state.maintenance.get(id) ?? { takeDownBy: now }),
  );
  const stops = new Set<TaskGroup>();
  const calls: MaintenanceCall[] = [];
  findCandidates(state, view, now)
    .sort(compareCandidates)
    .forEach((candidate) => {
      const { call, runner } = candidate;
      if (!candidate.isPending && !room.take(call.machine, runner)) {
        return;
      }
      const takeDownBy = candidate.prepared?.takeDownBy ?? candidate.takeDownBy;
      const vacating = vacate(state, runner, takeDownBy, lasting, now);
      const { spared, others, isHeldBack } = vacating;
      if (isHeldBack && now >= takeDownBy + heldBackMs && !candidate.isPending) {
        room.giveBack(call.machine, runner);
        return;
      }
      if (call.runnerId !== undefined) {
        // As long as tasks are moved away, the time for which the machine is held back starts anew.
        const isMoving = isHeldBack && spared.length > 0;
        const entry = { takeDownBy: isMoving ? Math.max(takeDownBy, now) : takeDownBy };
        prepared.set(call.runnerId, entry);
      }
      [...spared, ...others].forEach((group) => stops.add(group));
      if (vacating.isReady && calls.length < view.maxCalls) {
        calls.push(call);
      }
    });
  return { prepared, stops: [...stops], calls };
}

/** Runners of machines that are down or may be, and former ones that the registry may still list. */
function restrictedRunners({ waves, machines, pending, departed }: MaintenanceView): Set<string> {
  const ids = new Set(departed);
  waves.forEach((wave) =>
    wave.machines.forEach((name) => {
      const machine = machines.get(name);
      if (machine?.runnerId !== undefined && !machine.isUp) {
        ids.add(machine.runnerId);
      }
    }),
  );
  pending.forEach(({ runnerId }) => {
    if (runnerId !== undefined) {
      ids.add(runnerId);
    }
  });
  return ids;
}

function findCandidates(state: DispatchState, view: MaintenanceView, now: number): Candidate[] {
  const { waves, machines, pending, retryAt } = view;
  const found = new Map<string, Candidate>();
  [...waves]
    .sort((left, right) => left.deadline - right.deadline)
    .forEach((wave) => {
      const takeDownBy = now + shareOfSpareMs(wave, view, now);
      wave.machines.forEach((name) => {
        const call = pending.get(name);
        const machine = machines.get(name);
        const isDue = call === undefined ? machine?.isUp : !call.isAnswered;
        const isOwn = call === undefined || call.wave === wave.id;
        const isWaiting = (retryAt.get(name) ?? -Infinity) > now;
        if (!isDue || !isOwn || isWaiting || found.has(name) || wave.settled.has(name)) {
          return;
        }
        const runnerId = machine?.runnerId;
        const runner = runnerId === undefined ? undefined : state.runners.get(runnerId);
        found.set(name, {
          call: { wave: wave.id, machine: name, runnerId },
          runner,
          isPending: call !== undefined,
          prepared: runnerId === undefined ? undefined : state.maintenance.get(runnerId),
          deadline: wave.deadline,
          takeDownBy,
          ...judgeLoss(state, runner, takeDownBy, now),
        });
      });
    });
  return [...found.values()].filter(
    ({ lostWork, isPending }) => isPending || Number.isFinite(lostWork),
  );
}

/** Milliseconds that the runs on a machine may take, if all rounds of the wave take as long. */
function shareOfSpareMs(wave: MaintenanceWave, view: MaintenanceView, now: number): number {
  const open = [...wave.machines].filter(
    (name) => view.machines.has(name) && !wave.settled.has(name),
  );
  const rounds = Math.max(1, Math.ceil(open.length / Math.max(1, wave.maxCount)));
  const roundMs = view.maintenanceMs + roundOverheadMs;
  return Math.max(0, (wave.deadline - now) / rounds - roundMs);
}

function compareCandidates(left: Candidate, right: Candidate): number {
  return (
    Number(right.isPending) - Number(left.isPending) ||
    Number(right.prepared !== undefined) - Number(left.prepared !== undefined) ||
    left.deadline - right.deadline ||
    left.lostWork - right.lostWork ||
    left.waitMs - right.waitMs
  );
}

function judgeLoss(
  state: DispatchState,
  runner: Runner | undefined,
  takeDownBy: number,
  now: number,
): { lostWork: number; waitMs: number } {
  let lostWork = 0;
  let waitMs = 0;
  groupsOn(runner).forEach((group) => {
    const { isLasting, savesProgress, mayMiss } = group.step;
    const leftMs = remainingRunMs(group, state, now);
    if (isLasting && mayMiss !== undefined && group.members.length > mayMiss) {
      lostWork = Infinity;
    } else if (isLasting || savesProgress) {
      lostWork += group.cores * state.bounds.stopMs;
    } else if (leftMs > takeDownBy - now) {
      lostWork += group.cores * (now - group.startedAt);
    } else {
      waitMs = Math.max(waitMs, leftMs);
    }
  });
  return { lostWork, waitMs };
}

function groupsOn(runner: Runner | undefined): Set<TaskGroup> {
  return new Set([...(runner?.occupants.values() ?? [])].map(({ group }) => group));
}

interface Vacating {
  /** Tasks to stop that a lasting step can spare now. */
  readonly spared: readonly TaskGroup[];
  /** Other runs to stop. */
  readonly others: readonly TaskGroup[];
  /** Whether the machine may be taken down now. */
  readonly isReady: boolean;
  /** Whether a lasting step cannot spare its tasks on the runner now. */
  readonly isHeldBack: boolean;
}

/** Which runs on a prepared runner to stop now. */
function vacate(
  state: DispatchState,
  runner: Runner | undefined,
  takeDownBy: number,
  lasting: LastingTasks,
  now: number,
): Vacating {
  const isStopDue = now >= takeDownBy - state.bounds.stopMs - stopMarginMs;
  const groups = [...groupsOn(runner)];
  const active = groups.filter(({ phase }) => phase === TaskGroupPhase.running);
  const starting = groups.filter(({ phase }) => phase === TaskGroupPhase.starting);
  const bounded = [...active, ...starting].filter((group) => LastingTasks.isBounded(group));
  const spared = bounded.filter((group) => lasting.spare(group));
  const free = active.filter((group) => !LastingTasks.isBounded(group));
  const ending = free.filter(
    (group) =>
      !group.step.isLasting &&
      !group.step.savesProgress &&
      remainingRunMs(group, state, now) <= takeDownBy - now,
  );
  const others = isStopDue
    ? [...free, ...starting.filter((group) => !LastingTasks.isBounded(group))]
    : free.filter(({ step }) => ending.length === 0 || step.isLasting);
  const isEmpty = runner === undefined || runner.occupants.size + runner.strays.size === 0;
  const isHeldBack = spared.length < bounded.length;
  return {
    spared,
    others,
    isReady: isEmpty || (now >= takeDownBy && !isHeldBack),
    isHeldBack,
  };
}
