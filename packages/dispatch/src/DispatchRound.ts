import type { JobRank } from './DispatchOrder.js';
import { compareRanks, rankJob, ObjectiveStatus } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import { coveredJobs } from './Guarantees.js';
import type { JobRun } from './JobRun.js';
import { PlacementSearch } from './PlacementSearch.js';
import { countFitting } from './Resources.js';
import type { Placement } from './CapacityLedger.js';
import { countFittingMembers, isEligible, CapacityLedger } from './CapacityLedger.js';
import { PreemptionCost } from './PreemptionCost.js';
import { remainingRunMs } from './RemainingTime.js';
import { awaitsAdvice, mayBecomeEligible, updatePermits } from './permittedRunners.js';
import type { Runner } from './Runner.js';
import { isUsable } from './RunnerAvailability.js';
import { SpeedRequirement } from './SpeedRequirement.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';
import type { TaskGroup } from './TaskGroup.js';
import { TaskGroupPhase } from './TaskGroup.js';
import { urgentAccelerators } from './UrgentDemand.js';
import { VictimSearch } from './VictimSearch.js';

/**
 * Milliseconds beyond the longest stop after which a reservation is dropped, so that its task group
 * is placed anew.
 */
const reservationSlackMs = 1_500;

/** Milliseconds between victim searches without result; short against the slack of urgent jobs. */
const victimSearchRetryMs = 150;
/** A job whose remaining slack exceeds this share of its objective is deferrable. */
const deferrableShare = 0.4;
/** Free share of accelerators from which the service is mostly idle; the requirement says half. */
const idleFreeShare = 0.45;
/**
 * Longest wait in milliseconds of a task group while the service is mostly idle. The service
 * requirement allows three seconds.
 */
const maxIdleWaitMs = 1_500;
/** Milliseconds for which a task group that may crash its runners waits for empty ones. */
const maxIsolationWaitMs = 1_000;
/** The same for one of which only few more starts are allowed. */
const maxLimitedWaitMs = 15_000;
/** Share of the usable runners that suspects may keep to themselves at the same time. */
const maxClosedShare = 0.5;

/** One scheduling pass over all waiting task groups: placements, starts and preemptions. */
export class DispatchRound {
  private readonly ledger: CapacityLedger;

  private readonly placementSearch: PlacementSearch;

  private readonly speedRequirement: SpeedRequirement;

  private readonly remainingRun = (group: TaskGroup): number =>
    remainingRunMs(group, this.state, this.now);

  private readonly preemptionCost: PreemptionCost;

  private readonly guaranteedJobs: ReadonlySet<JobRun>;

  private readonly usableRunners: readonly Runner[];

  /** Tasks of which a runner reports a run that is being stopped. */
  private readonly strayTasks = new Set<string>();

  private readonly totalAccelerators: number;

  /** Number of further runners that suspects may keep to themselves. */
  private closableRunners: number;

  /** Accelerators that non-urgent work leaves free for urgent jobs. */
  private readonly headroom: number;

  /** Accelerators that deferrable work leaves free for urgent jobs. */
  private readonly deferrableHeadroom: number;

  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: TaskGroupLifecycle,
    private readonly now: number,
  ) {
    state.runners.forEach(({ strays }) =>
      strays.forEach(({ task, isRunning }) => {
        if (isRunning) {
          this.strayTasks.add(task);
        }
      }),
    );
    this.usableRunners = [...state.runners.values()].filter((runner) =>
      isUsable(state, runner, now),
    );
    this.totalAccelerators = this.usableRunners.reduce(
      (sum, { listed }) => sum + listed.capacity.accelerators,
      0,
    );
    updatePermits(state, now);
    this.preemptionCost = new PreemptionCost(state, now);
    this.startReserved();
    const openRunners = this.usableRunners.filter(({ closedUntil }) => closedUntil <= now);
    const closedCount = this.usableRunners.length - openRunners.length;
    this.closableRunners = Math.max(1, this.usableRunners.length * maxClosedShare) - closedCount;
    this.ledger = new CapacityLedger(openRunners);
    this.speedRequirement = new SpeedRequirement(state, now);
    this.placementSearch = new PlacementSearch(this.ledger, this.speedRequirement);
    this.guaranteedJobs = coveredJobs(state.openJobs, state.accounts);
    const maxHeadroom = this.totalAccelerators * state.policy.headroomShare;
    this.headroom = state.urgentHeadroom.at(now, maxHeadroom);
    this.deferrableHeadroom = Math.max(
      this.headroom,
      Math.min(maxHeadroom, this.expectedUrgentDemand()),
    );
  }

  public run(): void {
    this.rankWaitingJobs().forEach((rank) => this.scheduleJob(rank));
  }

  // Accelerators that urgent jobs will probably request beyond what they use or wait for now.
  private expectedUrgentDemand(): number {
    const { urgentDemand, openJobs } = this.state;
    const wanted = urgentAccelerators(openJobs);
    urgentDemand.observe(wanted, this.now);
    return urgentDemand.coveredDemand - wanted;
  }

  private rankWaitingJobs(): JobRank[] {
    const { estimates } = this.state;
    return [...this.state.openJobs]
      .filter((job) => this.waitingGroups(job).length > 0)
      .map((job) =>
        rankJob(job, this.guaranteedJobs.has(job), estimates, this.now, this.remainingRun),
      )
      .sort(this.state.policy.compareRanks ?? compareRanks);
  }

  private waitingGroups(job: JobRun): TaskGroup[] {
    return job.readyGroups.filter(
      (group) => group.retryAt <= this.now && !this.hasRunningStray(group),
    );
  }

  private hasRunningStray({ members }: TaskGroup): boolean {
    return this.strayTasks.size > 0 && members.some(({ task }) => this.strayTasks.has(task));
  }

  private scheduleJob(rank: JobRank): void {
    const stepsWithoutCapacity = new Set<number>();
    this.waitingGroups(rank.job).forEach((group) => {
      // All task groups of a step have the same requirements: if one does not fit, none does.
      if (stepsWithoutCapacity.has(group.stepIndex)) {
        return;
      }
      if (!this.placeGroup(group, rank)) {
        stepsWithoutCapacity.add(group.stepIndex);
      }
    });
  }

  private placeGroup(group: TaskGroup, rank: JobRank): boolean {
    const isOverdue = this.isOverdue(group);
    if (!rank.isUrgent && !isOverdue && !this.leavesHeadroom(group, rank)) {
      return false;
    }
    const mayLeaveRack = isOverdue || !this.couldFitPreferredRack(group);
    const placement = group.isSuspect
      ? this.findForSuspect(group, mayLeaveRack)
      : this.placementSearch.find(group, mayLeaveRack);
    if (placement !== undefined) {
      this.ledger.allocate(group, placement);
      this.lifecycle.requestStart(group, placement, this.now);
      if (group.isSuspect) {
        this.closeRunners(group, placement);
      }
      return true;
    }
    const mayReclaim =
      rank.isUrgent && (rank.isGuaranteed || rank.objectiveStatus !== ObjectiveStatus.expired);
    return mayReclaim && !this.awaitsAdvice(group) && this.reclaim(group, rank);
  }

  // Keeps the runners of a suspect to itself for a while, where it is alone and not too many are.
  private closeRunners(group: TaskGroup, placement: Placement): void {
    placement.forEach((_count, runnerId) => {
      const runner = this.state.runners.get(runnerId);
      const isAlone = [...(runner?.occupants.values() ?? [])].every(
        (occupant) => occupant.group === group,
      );
      if (runner !== undefined && isAlone && (!group.isLimited || this.closableRunners > 0)) {
        this.closableRunners -= 1;
        runner.closedUntil = this.now + group.probationMs;
        this.ledger.close(runnerId);
      }
    });
  }

  private findForSuspect(group: TaskGroup, mayLeaveRack: boolean): Placement | undefined {
    const placement = this.placementSearch.findEmpty(group, mayLeaveRack);
    const maxWaitMs = group.isLimited ? maxLimitedWaitMs : maxIsolationWaitMs;
    const mayShare = this.now - group.requeuedAt > maxWaitMs;
    return placement === undefined && mayShare
      ? this.placementSearch.find(group, mayLeaveRack)
      : placement;
  }

  // While the service is mostly idle, a task group does not keep waiting for its preferred rack or
  // for the sake of urgent jobs that have not arrived yet.
  private isOverdue(group: TaskGroup): boolean {
    const free = this.ledger.freeAccelerators;
    const waitedMs = this.now - Math.max(group.job.arrivedAt, group.startRequestedAt);
    return waitedMs > maxIdleWaitMs && free >= this.totalAccelerators * idleFreeShare;
  }

  private leavesHeadroom(group: TaskGroup, rank: JobRank): boolean {
    const wanted = group.size.accelerators * group.members.length;
    const reserved = rank.slackShare > deferrableShare ? this.deferrableHeadroom : this.headroom;
    return reserved === 0 || this.ledger.freeAccelerators - wanted >= reserved;
  }

  private reclaim(group: TaskGroup, rank: JobRank): boolean {
    if (this.now < group.nextVictimSearchAt) {
      return false;
    }
    const search = new VictimSearch(
      this.ledger,
      (victim) => this.mayPreempt(victim, rank),
      (victim) => this.preemptionCost.of(victim),
      this.preemptionCost.maxCostFor(rank),
      this.speedRequirement.of(group),
      this.remainingRun,
    );
    const plan = search.find(group, !this.couldFitPreferredRack(group));
    if (plan === undefined) {
      group.nextVictimSearchAt = this.now + victimSearchRetryMs;
      return false;
    }
    const until = this.now + this.state.bounds.stopMs + reservationSlackMs;
    this.lifecycle.reserve(group, plan.placement, until);
    this.ledger.allocate(group, plan.placement);
    this.state.log.decide('groupReserved', {
      job: group.job.id,
      group: group.key,
      runners: [...plan.placement.keys()].join(','),
      victims: plan.victims.map((victim) => `${victim.job.id}.${victim.key}`).join(','),
      isGuaranteed: rank.isGuaranteed,
    });
    plan.victims.forEach((victim) => this.stopVictim(victim));
    return true;
  }

  private awaitsAdvice(group: TaskGroup): boolean {
    const { isGang, prefersOneRack } = group.step;
    const isInOneRack = isGang && prefersOneRack && this.couldFitPreferredRack(group);
    return awaitsAdvice(this.state, this.ledger, group, isInOneRack);
  }

  private stopVictim(victim: TaskGroup): void {
    const preempted = victim.size.accelerators * victim.members.length;
    this.state.urgentHeadroom.recordPreemption(preempted, this.now);
    this.lifecycle.abort(victim, 'reclaimed', this.now);
  }

  // Guaranteed jobs may preempt every job without a guarantee; other urgent jobs only preempt
  // queues of lower priority.
  private mayPreempt(victim: TaskGroup, rank: JobRank): boolean {
    if (victim.step.isLasting || victim.isLimited || victim.phase === TaskGroupPhase.stopping) {
      return false;
    }
    const { job } = victim;
    if (job.queue.priority > rank.job.queue.priority) {
      return true;
    }
    return rank.isGuaranteed && !this.guaranteedJobs.has(job);
  }

  // Whether the preferred rack (the rack of the data, or any single rack for a gang that prefers
  // one) could hold the whole task group if it were empty.
  private couldFitPreferredRack(group: TaskGroup): boolean {
    const { dataRack, prefersOneRack } = group.step;
    const racks = this.ledger.byRack;
    const candidates = dataRack === undefined ? [...racks.values()] : [racks.get(dataRack) ?? []];
    if (dataRack === undefined && (!prefersOneRack || group.members.length === 1)) {
      return false;
    }
    return candidates.some((capacities) => {
      const fitting = capacities
        .filter(
          ({ runner }) => isEligible(group, runner) || mayBecomeEligible(this.state, group, runner),
        )
        .reduce((sum, { runner }) => sum + countFitting(group.size, runner.listed.capacity), 0);
      return fitting >= group.members.length;
    });
  }

  // Starts task groups whose reserved capacity is free by now. Drops reservations that have expired
  // or whose runners are no longer usable.
  private startReserved(): void {
    [...this.state.reserved].forEach((group) => {
      const placement = this.reservedPlacement(group);
      const isUnusable = [...placement.keys()].some((runnerId) => {
        const runner = this.state.runners.get(runnerId);
        return (
          runner === undefined ||
          !isUsable(this.state, runner, this.now) ||
          !isEligible(group, runner)
        );
      });
      if (isUnusable || placement.size === 0 || this.now > group.reservedUntil) {
        this.lifecycle.release(group);
      } else if (this.isPlacementFree(group, placement) && !this.hasRunningStray(group)) {
        this.lifecycle.clearReservation(group);
        this.lifecycle.requestStart(group, placement, this.now);
      }
    });
  }

  private reservedPlacement(group: TaskGroup): Placement {
    const placement = new Map<string, number>();
    this.state.runners.forEach((runner) => {
      const count = runner.reservations.get(group);
      if (count !== undefined) {
        placement.set(runner.id, count);
      }
    });
    return placement;
  }

  private isPlacementFree(group: TaskGroup, placement: Placement): boolean {
    return [...placement].every(([runnerId, count]) => {
      const runner = this.state.runners.get(runnerId);
      return (
        runner !== undefined && countFittingMembers(group, runner, runner.freeCapacity) >= count
      );
    });
  }
}
