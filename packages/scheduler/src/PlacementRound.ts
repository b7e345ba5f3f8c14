import type { Configuration } from '@apricothoist/config';
import { Adjacency, Urgency } from '@apricothoist/config';

import { AcceleratorUsage } from './AcceleratorUsage.js';
import { Borrowers } from './Borrowers.js';
import type { Capacity, WorkerShare, WorkerView } from './Capacity.js';
import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { Consolidation } from './Consolidation.js';
import type { GuaranteeEntry } from './GuaranteeLedger.js';
import { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
import type { GuaranteeUnit, GuaranteeFeasibility } from './GuaranteeFeasibility.js';
import { releaseAttempt } from './observe.js';
import { PlacementSearch } from './PlacementSearch.js';
import type { Attempt, Job, Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import type { QueueEntry } from './QueueOrder.js';
import { compareEntries, Rank, toQueueEntry } from './QueueOrder.js';
import { describePlacement, describeShape } from './reasons.js';
import { ReclaimSearch } from './ReclaimSearch.js';
import { isQuarantined } from './WorkerHistory.js';

/** Time limit in milliseconds for the checkpoint of a preempted attempt. */
const checkpointWindowMs = 1_500;
/** Time limit in milliseconds for all workers to reserve the tasks of a new attempt. */
const reserveWindowMs = 4_000;
/** Candidate placements of a guaranteed gang that are checked against the other guarantees. */
const maxGuaranteedCandidates = 8;
/** Upper bound on the shapes, largest first, that the fragmentation cost takes into account. */
const maxRelevantShapes = 8;

/** Input of one placement round. */
export interface PlacementInput {
  readonly draft: PlanDraft;
  readonly workers: readonly WorkerView[];
  readonly configuration: Configuration;
  readonly dataCentre: string;
  readonly feasibility: GuaranteeFeasibility;
  /** Wall-clock time in milliseconds. */
  readonly now: number;
  readonly createId: () => string;
}

/** A placement for a job and the attempts that must be preempted for it. */
interface CandidatePlacement {
  readonly shares: readonly WorkerShare[];
  readonly victims: readonly Attempt[];
}

/**
 * One scheduling pass over the queue. Guaranteed gangs may preempt any borrower, provided that all
 * other unused guarantees can still be met simultaneously. Other jobs use free accelerators and
 * preempt borrowers only as the preemption rule of their rank permits.
 */
export class PlacementRound {
  private readonly draft: PlanDraft;

  private readonly now: number;

  private readonly usage: AcceleratorUsage;

  private readonly borrowers: Borrowers;

  private readonly ledger: GuaranteeLedger;

  /** Combinations of rank, shape and avoided workers that could not be placed in this round. */
  private readonly unplaceable = new Set<string>();

  /**
   * Accounts with a queued job that outranks ordinary jobs but would exceed the accelerator limit.
   * Their jobs later in the queue are skipped.
   */
  private readonly blockedAccounts = new Set<string>();

  private search = new PlacementSearch([]);

  private hasReservedRack = false;

  public constructor(private readonly input: PlacementInput) {
    const { draft, now, configuration, dataCentre } = input;
    this.draft = draft;
    this.now = now;
    const workers = input.workers.map((worker) => this.applyQuarantine(worker));
    this.usage = new AcceleratorUsage(workers, draft.attempts);
    this.borrowers = new Borrowers(draft, now);
    this.ledger = new GuaranteeLedger(guaranteesOf(configuration, dataCentre), draft.attempts);
  }

  /** Places all jobs that fit. Returns the guarantee units that cannot currently be met. */
  public run(): readonly GuaranteeUnit[] {
    const queue = this.orderedQueue();
    this.search = new PlacementSearch(this.relevantShapes(queue));
    queue.forEach((entry) => this.placeEntry(entry));
    this.promoteBorrowers();
    this.consolidate();
    return this.input.feasibility.solve(this.usage.availableToGuarantees, this.ledger.unusedUnits())
      .unplaced;
  }

  private orderedQueue(): QueueEntry[] {
    return this.draft.jobs
      .filter((job) => job.state === JobState.queued)
      .map((job) => {
        const isGuaranteed = this.ledger.unusedFor(job.account, job.shape) !== undefined;
        return toQueueEntry(job, isGuaranteed, this.draft.estimates, this.now);
      })
      .sort(compareEntries);
  }

  private relevantShapes(queue: readonly QueueEntry[]): Shape[] {
    const guaranteed = this.ledger.unusedUnits().map((unit) => unit.shape);
    const shapes = new Map<string, Shape>();
    [...guaranteed, ...queue.map((entry) => entry.job.shape)].forEach((shape) =>
      shapes.set(shapeKey(shape), shape),
    );
    return [...shapes.values()]
      .sort((left, right) => acceleratorsOf(right) - acceleratorsOf(left))
      .slice(0, maxRelevantShapes);
  }

  private placeEntry(entry: QueueEntry): void {
    const { job } = entry;
    if (this.blockedAccounts.has(job.account) || !this.isWithinLimit(job)) {
      this.setReason(job, `account "${job.account}" is at its accelerator limit`);
      // Reserves the next accelerators of the account for this job, so that smaller jobs behind it
      // cannot starve it.
      if (entry.rank !== Rank.ordinary) {
        this.blockedAccounts.add(job.account);
      }
      return;
    }
    const guarantee = this.guaranteeFor(job);
    if (guarantee !== undefined && this.placeGuaranteed(job, guarantee)) {
      return;
    }
    this.placeBorrower(entry);
  }

  private isWithinLimit(job: Job): boolean {
    const limit = this.input.configuration.account[job.account]?.['accelerator-limit'] ?? 0;
    return this.usage.heldBy(job.account) + acceleratorsOf(job.shape) <= limit;
  }

  // When all matching units are in use, an urgent job takes over the unit of a less urgent running
  // attempt of the same account; that attempt becomes a borrower.
  private guaranteeFor(job: Job): GuaranteeEntry | undefined {
    const unused = this.ledger.unusedFor(job.account, job.shape);
    if (unused !== undefined || job.urgency !== Urgency.urgent) {
      return unused;
    }
    const attempt = this.findLessUrgentAttempt(job);
    if (attempt?.guarantee === undefined) {
      return undefined;
    }
    this.draft.updateAttempt(attempt.id, { guarantee: undefined });
    this.usage.removeGuaranteed(attempt);
    this.ledger.release(attempt.guarantee);
    return this.ledger.unusedFor(job.account, job.shape);
  }

  private findLessUrgentAttempt(job: Job): Attempt | undefined {
    const matching = this.ledger.matchingGuarantees(job.account, job.shape);
    const names = new Set(matching.map((entry) => entry.name));
    return this.draft.attempts.find(
      (attempt) =>
        attempt.guarantee !== undefined &&
        names.has(attempt.guarantee) &&
        attempt.urgency !== Urgency.urgent &&
        attempt.state === AttemptState.running,
    );
  }

  private placeGuaranteed(job: Job, guarantee: GuaranteeEntry): boolean {
    const avoided = this.avoidedWorkers(job);
    const choice =
      this.firstFeasible(job, guarantee, this.findFreePlacements(job, avoided)) ??
      this.firstFeasible(job, guarantee, this.findReclaims(job, avoided)) ??
      this.placementFromAssignment(job, guarantee);
    if (choice === undefined) {
      this.setReason(job, `guarantee "${guarantee.name}" cannot be met by the usable workers`);
      return false;
    }
    this.commit(job, choice, guarantee.name);
    return true;
  }

  private findFreePlacements(job: Job, avoided: ReadonlySet<number>): CandidatePlacement[] {
    return this.search
      .find(this.usage.free, job.shape, avoided)
      .map(({ shares }) => ({ shares, victims: [] }));
  }

  private findReclaims(job: Job, avoided: ReadonlySet<number>): CandidatePlacement[] {
    const search = new ReclaimSearch(this.borrowers.reclaimable);
    return search.find(this.usage.freeAfterStops, job.shape, avoided);
  }

  // First placement after which all other unused guarantees can still be met simultaneously.
  private firstFeasible(
    job: Job,
    guarantee: GuaranteeEntry,
    candidates: readonly CandidatePlacement[],
  ): CandidatePlacement | undefined {
    const { availableToGuarantees } = this.usage;
    const others = this.unusedUnitsExceptOneOf(guarantee);
    return candidates.slice(0, maxGuaranteedCandidates).find((choice) => {
      availableToGuarantees.allocate(choice.shares, job.shape.acceleratorsPerWorker);
      const isFeasible = this.input.feasibility.canPlaceAll(availableToGuarantees, others);
      availableToGuarantees.release(choice.shares, job.shape.acceleratorsPerWorker);
      return isFeasible;
    });
  }

  // Uses the workers that a feasible assignment gives this unit, which leaves every other unit the
  // workers that the same assignment gives it.
  private placementFromAssignment(
    job: Job,
    guarantee: GuaranteeEntry,
  ): CandidatePlacement | undefined {
    const units = this.ledger.unusedUnits();
    const unit = units.find((candidate) => candidate.guarantee === guarantee.name);
    const assignment = this.input.feasibility.solve(this.usage.availableToGuarantees, units);
    const shares = unit === undefined ? undefined : assignment.placements.get(unit.id);
    if (shares === undefined) {
      return undefined;
    }
    const targets = new Set(shares.map((share) => share.worker));
    const all = this.usage.total.workers.map((_, worker) => worker);
    return this.findReclaims(job, new Set(all.filter((worker) => !targets.has(worker))))[0];
  }

  private unusedUnitsExceptOneOf(guarantee: GuaranteeEntry): GuaranteeUnit[] {
    const units = this.ledger.unusedUnits();
    const own = units.findLastIndex((unit) => unit.guarantee === guarantee.name);
    return units.filter((_, index) => index !== own);
  }

  private placeBorrower(entry: QueueEntry): void {
    const { job, rank } = entry;
    const key = `${rank}/${shapeKey(job.shape)}/${job.failedWorkers.join()}`;
    if (this.unplaceable.has(key)) {
      return;
    }
    const avoided = this.avoidedWorkers(job);
    const choice = this.findFreePlacements(job, avoided)[0] ?? this.findPreemption(entry, avoided);
    if (choice !== undefined) {
      this.commit(job, choice);
      return;
    }
    this.unplaceable.add(key);
    this.setReason(job, `waits for ${describeShape(job.shape)}`);
    if (rank !== Rank.ordinary) {
      this.reserveRackFor(job.shape);
    }
  }

  private findPreemption(
    entry: QueueEntry,
    avoided: ReadonlySet<number>,
  ): CandidatePlacement | undefined {
    const search = new ReclaimSearch(this.borrowers.preemptibleFor(entry));
    return search.find(this.usage.freeAfterStops, entry.job.shape, avoided)[0];
  }

  // Excludes the rack with the most capacity for the gang from the rest of the round, so that jobs
  // later in the queue do not fill it. At most one rack is reserved per round.
  private reserveRackFor(shape: Shape): void {
    if (this.hasReservedRack) {
      return;
    }
    this.hasReservedRack = true;
    const { free } = this.usage;
    const capacities = free.racks.map((workers) =>
      free.taskCapacity(workers, shape.acceleratorsPerWorker),
    );
    const largest = capacities.indexOf(Math.max(...capacities));
    (free.racks[largest] ?? []).forEach((worker) => free.adjust(worker, -free.freeOf(worker)));
  }

  private commit(job: Job, choice: CandidatePlacement, guarantee?: string): void {
    choice.victims.forEach((victim) => this.preempt(victim, `stopped for job "${job.name}"`));
    const attempt = this.createAttempt(job, choice, guarantee);
    this.draft.addAttempt(attempt);
    const reason = describePlacement(attempt, choice.victims.length);
    const attemptCount = job.attemptCount + 1;
    this.draft.advanceJob(job.id, JobEvent.place, { attemptCount, reason });
    this.usage.add(attempt);
    if (guarantee !== undefined) {
      this.ledger.use(guarantee);
    }
  }

  // The accelerators of a victim remain allocated until it has stopped; the new attempt waits for
  // them.
  private preempt(victim: Attempt, reason: string): void {
    this.draft.updateJob(victim.jobId, { reason });
    this.usage.markStopping(victim);
    if (victim.state === AttemptState.placing) {
      releaseAttempt(this.draft, victim, AttemptEvent.reclaimed, this.now);
      return;
    }
    const stopBy = this.now + checkpointWindowMs;
    this.draft.advanceAttempt(victim.id, AttemptEvent.reclaimed, { stopBy });
  }

  private createAttempt(job: Job, choice: CandidatePlacement, guarantee?: string): Attempt {
    const { workers } = this.usage.total;
    const tasks = choice.shares.flatMap((share) =>
      Array.from({ length: share.tasks }, () => ({
        workerId: workers[share.worker]?.id ?? '',
        accelerators: job.shape.acceleratorsPerWorker,
        isStopped: false,
        isFinished: false,
      })),
    );
    return {
      id: this.input.createId(),
      jobId: job.id,
      account: job.account,
      number: job.attemptCount + 1,
      state: AttemptState.placing,
      tasks,
      guarantee,
      urgency: job.urgency,
      reserveBy: this.now + reserveWindowMs,
      resumeFromMs: job.checkpointMs,
      progressMs: job.checkpointMs,
      checkpointMs: job.checkpointMs,
      outcome: 'requeue',
    };
  }

  // Assigns unused guarantee units to running borrowers of the same account, which protects them
  // from preemption.
  private promoteBorrowers(): void {
    this.borrowers.running.forEach(({ attempt, job }) => {
      const guarantee = this.ledger.unusedFor(job.account, job.shape);
      if (guarantee === undefined) {
        return;
      }
      this.usage.addGuaranteed(attempt);
      const others = this.unusedUnitsExceptOneOf(guarantee);
      if (!this.input.feasibility.canPlaceAll(this.usage.availableToGuarantees, others)) {
        this.usage.removeGuaranteed(attempt);
        return;
      }
      this.draft.updateAttempt(attempt.id, { guarantee: guarantee.name });
      this.ledger.use(guarantee.name);
    });
  }

  // Defragments: moves at most one borrower if that lets more gangs of the relevant shapes fit. Does
  // nothing while any attempt is starting or stopping.
  private consolidate(): void {
    const isInTransition = this.draft.attempts.some(
      (attempt) => attempt.state !== AttemptState.running && attempt.state !== AttemptState.over,
    );
    if (isInTransition) {
      return;
    }
    const weight = this.input.configuration.deployment['completion-weight'];
    const consolidation = new Consolidation(this.search, weight);
    const move = consolidation.find(this.usage.free, this.borrowers.movable);
    if (move !== undefined) {
      this.preempt(move.attempt, 'moved to make room for larger gangs');
    }
  }

  // Workers on which the job has failed, unless the job cannot be placed without them.
  private avoidedWorkers(job: Job): ReadonlySet<number> {
    const { total } = this.usage;
    const indexes = job.failedWorkers.map((workerId) => total.indexOf(workerId));
    const avoided = new Set(indexes.filter((index) => index !== undefined));
    return avoided.size === 0 || canFit(total, job.shape, avoided) ? avoided : new Set();
  }

  private applyQuarantine(worker: WorkerView): WorkerView {
    const hasQuarantine = isQuarantined(this.draft.worker(worker.id), this.now);
    return hasQuarantine ? { ...worker, isUsable: false } : worker;
  }

  // Writes the reason only if it differs, so that waiting alone does not change the plan.
  private setReason(job: Job, reason: string): void {
    if (job.reason !== reason) {
      this.draft.updateJob(job.id, { reason });
    }
  }
}

function canFit(total: Capacity, shape: Shape, avoided: ReadonlySet<number>): boolean {
  const racks = total.racks.map((workers) => workers.filter((worker) => !avoided.has(worker)));
  const groups = shape.adjacency === Adjacency.rack ? racks : [racks.flat()];
  const acceleratorsPerTask = shape.acceleratorsPerWorker;
  return groups.some(
    (workers) => total.taskCapacity(workers, acceleratorsPerTask) >= shape.workers,
  );
}

function shapeKey(shape: Shape): string {
  return `${shape.workers}x${shape.acceleratorsPerWorker}/${shape.adjacency}`;
}
