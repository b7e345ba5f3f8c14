import type { JobRank } from './DispatchOrder.js';
import { compareRanks, rankJob, Standing } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import { coveredJobs } from './Guarantees.js';
import type { JobRun } from './JobRun.js';
import { PlacementSearch } from './PlacementSearch.js';
import { countFitting } from './Resources.js';
import type { Placement } from './RoomLedger.js';
import { countPlaces, isEligible, RoomLedger } from './RoomLedger.js';
import type { Runner } from './Runner.js';
import type { UnitLifecycle } from './UnitLifecycle.js';
import type { Unit } from './Unit.js';
import { UnitPhase } from './Unit.js';
import { urgentAccelerators } from './UrgentDemand.js';
import { VictimSearch } from './VictimSearch.js';

/** Milliseconds beyond the longest stop after which a reservation is given up and sought anew. */
const reservationSlackMs = 1_500;

/** Milliseconds kept for the orders of a reclaim within the bound of a guarantee. */
const reclaimMarginMs = 700;
/** Milliseconds before victims are sought again in vain; short against the slack of urgent jobs. */
const searchAgainMs = 150;
/** Share of its objective that a job must have to spare to wait for likely urgent jobs. */
const patientShare = 0.4;
/** Share of empty accelerators from which the service counts as hardly used; the rule says half. */
const idleShare = 0.45;
/** Milliseconds that a unit may wait in a hardly used service; the rule says three seconds. */
const idleWaitMs = 1_500;
/** Loss that a guaranteed job may cause while it is in time, against others: see affordableLoss. */
const guaranteedShare = 5;
/** Worth of a late job against one in time, as the users weigh them. */
const lateShare = 0.25;

/** One pass over all waiting units: who starts now, where, and who has to make room. */
export class DispatchRound {
  private readonly ledger: RoomLedger;

  private readonly places: PlacementSearch;

  private readonly covered: ReadonlySet<JobRun>;

  private readonly usable: readonly Runner[];

  private readonly totalAccelerators: number;

  /** Accelerators that other work leaves to urgent jobs. */
  private readonly headroom: number;

  /** The same for work that can wait. */
  private readonly patientHeadroom: number;

  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: UnitLifecycle,
    private readonly now: number,
  ) {
    this.usable = [...state.runners.values()].filter((runner) => isUsable(runner, now));
    this.totalAccelerators = this.usable.reduce(
      (sum, { listed }) => sum + listed.capacity.accelerators,
      0,
    );
    this.startReserved();
    this.ledger = new RoomLedger(this.usable);
    this.places = new PlacementSearch(this.ledger);
    this.covered = coveredJobs(state.openJobs, state.accounts);
    const most = this.totalAccelerators * state.policy.headroomShare;
    this.headroom = state.urgentHeadroom.at(now, most);
    this.patientHeadroom = Math.max(this.headroom, Math.min(most, this.expectUrgent()));
  }

  public run(): void {
    this.ranks().forEach((rank) => this.serve(rank));
  }

  // Accelerators that urgent jobs are likely to ask for besides what they use or wait for now.
  private expectUrgent(): number {
    const { urgentDemand, openJobs } = this.state;
    const wanted = urgentAccelerators(openJobs);
    urgentDemand.observe(wanted, this.now);
    return urgentDemand.covered - wanted;
  }

  private ranks(): JobRank[] {
    const { estimates } = this.state;
    return [...this.state.openJobs]
      .filter((job) => this.waitingUnits(job).length > 0)
      .map((job) => rankJob(job, this.covered.has(job), estimates, this.now))
      .sort(compareRanks);
  }

  private waitingUnits(job: JobRun): Unit[] {
    return job.readyUnits.filter((unit) => unit.retryAt <= this.now);
  }

  private serve(rank: JobRank): void {
    const fullSteps = new Set<number>();
    this.waitingUnits(rank.job).forEach((unit) => {
      // Units of one step are alike: where one finds no place, the others do not either.
      if (fullSteps.has(unit.stepIndex)) {
        return;
      }
      if (!this.place(unit, rank)) {
        fullSteps.add(unit.stepIndex);
      }
    });
  }

  private place(unit: Unit, rank: JobRank): boolean {
    const isOverdue = this.isOverdue(unit);
    if (!rank.isUrgent && !isOverdue && !this.leavesHeadroom(unit, rank)) {
      return false;
    }
    const placement = this.places.find(unit, isOverdue || !this.couldFitNear(unit));
    if (placement !== undefined) {
      this.ledger.take(unit, placement);
      this.lifecycle.order(unit, placement, this.now);
      return true;
    }
    const mayReclaim = rank.isUrgent && (rank.isGuaranteed || rank.standing !== Standing.hopeless);
    return mayReclaim && this.reclaim(unit, rank);
  }

  // While much room is empty, nothing waits for long: neither for its rack nor for urgent jobs that
  // may come.
  private isOverdue(unit: Unit): boolean {
    const free = this.ledger.freeAccelerators;
    const waitedMs = this.now - Math.max(unit.job.arrivedAt, unit.orderedAt);
    return waitedMs > idleWaitMs && free >= this.totalAccelerators * idleShare;
  }

  private leavesHeadroom(unit: Unit, rank: JobRank): boolean {
    const wanted = unit.size.accelerators * unit.members.length;
    const kept = rank.slackShare > patientShare ? this.patientHeadroom : this.headroom;
    return kept === 0 || this.ledger.freeAccelerators - wanted >= kept;
  }

  private reclaim(unit: Unit, rank: JobRank): boolean {
    const maxCost = this.affordableLoss(rank);
    if (this.now < unit.searchAt) {
      return false;
    }
    const search = new VictimSearch(
      this.ledger,
      this.now,
      (victim) => this.mayStop(victim, rank),
      maxCost,
    );
    const found = search.find(unit, !this.couldFitNear(unit));
    if (found === undefined) {
      unit.searchAt = this.now + searchAgainMs;
      return false;
    }
    const until = this.now + this.state.bounds.stopMs + reservationSlackMs;
    this.lifecycle.reserve(unit, found.placement, until);
    this.ledger.take(unit, found.placement);
    this.state.log.decide('unitReserved', {
      job: unit.job.id,
      unit: unit.key,
      runners: [...found.placement.keys()].join(','),
      victims: found.victims.map((victim) => `${victim.job.id}.${victim.key}`).join(','),
      isGuaranteed: rank.isGuaranteed,
    });
    found.victims.forEach((victim) => this.stopVictim(victim));
    return true;
  }

  private stopVictim(victim: Unit): void {
    const stopped = victim.size.accelerators * victim.members.length;
    this.state.urgentHeadroom.noteStop(stopped, this.now);
    this.lifecycle.abort(victim, 'reclaimed', this.now);
  }

  // A guaranteed job takes what it needs in time for its guarantee, and more than others while it
  // can still meet its objective: it would take the room in any case, only too late for its client.
  // For a job that will be late a quarter of the loss is justified, as of its worth.
  private affordableLoss(rank: JobRank): number {
    const { bounds, policy } = this.state;
    const patienceMs = bounds.reclaimMs - bounds.stopMs - reclaimMarginMs;
    if (rank.isGuaranteed && this.now - rank.job.arrivedAt >= patienceMs) {
      return Infinity;
    }
    const inTimeShare = rank.isGuaranteed ? guaranteedShare : 1;
    const share = rank.standing === Standing.inTime ? inTimeShare : lateShare;
    return share * (policy.lostWorkBase + policy.lostWorkRatio * rank.work);
  }

  // Guaranteed jobs may take from everybody else, other urgent ones from less urgent queues.
  private mayStop(victim: Unit, rank: JobRank): boolean {
    if (victim.step.isLasting || victim.phase === UnitPhase.stopping) {
      return false;
    }
    const { job } = victim;
    if (job.queue.priority > rank.job.queue.priority) {
      return true;
    }
    return rank.isGuaranteed && !this.covered.has(job);
  }

  // Whether the rack of the data, or some rack for a gang that prefers one, could ever hold the
  // unit.
  private couldFitNear(unit: Unit): boolean {
    const { dataRack, prefersOneRack } = unit.step;
    const racks = this.ledger.byRack;
    const candidates = dataRack === undefined ? [...racks.values()] : [racks.get(dataRack) ?? []];
    if (dataRack === undefined && (!prefersOneRack || unit.members.length === 1)) {
      return false;
    }
    return candidates.some((rooms) => {
      const places = rooms
        .filter(({ runner }) => isEligible(unit, runner))
        .reduce((sum, { runner }) => sum + countFitting(unit.size, runner.listed.capacity), 0);
      return places >= unit.members.length;
    });
  }

  // Starts reserved units whose places are all empty by now, and drops reservations that take too
  // long or whose runners cannot be used any more.
  private startReserved(): void {
    [...this.state.reserved].forEach((unit) => {
      const placement = this.reservedPlacement(unit);
      const isLost = [...placement.keys()].some((runnerId) => {
        const runner = this.state.runners.get(runnerId);
        return runner === undefined || !isUsable(runner, this.now);
      });
      if (isLost || placement.size === 0 || this.now > unit.reservedUntil) {
        this.lifecycle.release(unit);
      } else if (this.isEmpty(unit, placement)) {
        this.lifecycle.forgetReservation(unit);
        this.lifecycle.order(unit, placement, this.now);
      }
    });
  }

  private reservedPlacement(unit: Unit): Placement {
    const placement = new Map<string, number>();
    this.state.runners.forEach((runner) => {
      const count = runner.reservations.get(unit);
      if (count !== undefined) {
        placement.set(runner.id, count);
      }
    });
    return placement;
  }

  private isEmpty(unit: Unit, placement: Placement): boolean {
    return [...placement].every(([runnerId, count]) => {
      const runner = this.state.runners.get(runnerId);
      return runner !== undefined && countPlaces(unit, runner, runner.room) >= count;
    });
  }
}

/** Whether something new may start on the runner. */
export function isUsable(runner: Runner, now: number): boolean {
  return (
    runner.isListed &&
    !runner.isDraining &&
    runner.isFenced &&
    runner.silentCalls === 0 &&
    runner.heldBackUntil <= now
  );
}
