import type { Configuration } from '@apricothoist/config';
import { Adjacency, Urgency } from '@apricothoist/config';

import { AcceleratorBooks } from './AcceleratorBooks.js';
import { Borrowers } from './Borrowers.js';
import type { Capacity, WorkerShare, WorkerView } from './Capacity.js';
import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { Consolidation } from './Consolidation.js';
import type { GuaranteeEntry } from './GuaranteeLedger.js';
import { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
import type { GuaranteeUnit, GuaranteeWitness } from './GuaranteeWitness.js';
import { leave } from './observe.js';
import { PlacementSearch } from './PlacementSearch.js';
import type { Attempt, Job, Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import type { QueueEntry } from './QueueOrder.js';
import { compareEntries, Rank, toQueueEntry } from './QueueOrder.js';
import { describePlacement, describeShape } from './reasons.js';
import { ReclaimSearch } from './ReclaimSearch.js';
import { isQuarantined } from './WorkerHistory.js';

/** Time in milliseconds that a reclaimed attempt has for its checkpoint. */
const checkpointWindowMs = 1_500;
/** Time in milliseconds within which all workers must have reserved their part. */
const reserveWindowMs = 4_000;
/** Placements of a guaranteed gang that are tried against the other guarantees. */
const maxGuaranteedCandidates = 8;
/** Distinct shapes that placement tries to keep possible. */
const maxShapesOfInterest = 8;

/** What one round of placement starts from. */
export interface PlacementInput {
  readonly draft: PlanDraft;
  readonly workers: readonly WorkerView[];
  readonly configuration: Configuration;
  readonly dataCentre: string;
  readonly witness: GuaranteeWitness;
  /** Wall milliseconds. */
  readonly now: number;
  readonly createId: () => string;
}

/** A place found for a job. */
interface Choice {
  readonly shares: readonly WorkerShare[];
  readonly victims: readonly Attempt[];
}

/**
 * One pass over the queue. Guaranteed gangs may stop borrowers anywhere, as long as all other
 * unused guarantees stay possible together; the rest use free accelerators, and stop borrowers
 * only by the rules of their rank.
 */
export class PlacementRound {
  private readonly draft: PlanDraft;

  private readonly now: number;

  private readonly books: AcceleratorBooks;

  private readonly borrowers: Borrowers;

  private readonly ledger: GuaranteeLedger;

  /** Ranks and shapes that found no place in this round. */
  private readonly blocked = new Set<string>();

  /** Accounts that start nothing until a large job of theirs is within their limit. */
  private readonly draining = new Set<string>();

  private search = new PlacementSearch([]);

  private isHolding = false;

  public constructor(private readonly input: PlacementInput) {
    const { draft, now, configuration, dataCentre } = input;
    this.draft = draft;
    this.now = now;
    const workers = input.workers.map((worker) => this.withoutQuarantined(worker));
    this.books = new AcceleratorBooks(workers, draft.attempts);
    this.borrowers = new Borrowers(draft, now);
    this.ledger = new GuaranteeLedger(guaranteesOf(configuration, dataCentre), draft.attempts);
  }

  /** Places what can be placed. Returns the guarantee units that cannot be met at present. */
  public run(): readonly GuaranteeUnit[] {
    const queue = this.orderedQueue();
    this.search = new PlacementSearch(this.shapesOfInterest(queue));
    queue.forEach((entry) => this.placeEntry(entry));
    this.promoteBorrowers();
    this.consolidate();
    return this.input.witness.solve(this.books.promised, this.ledger.unusedUnits()).unplaced;
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

  private shapesOfInterest(queue: readonly QueueEntry[]): Shape[] {
    const guaranteed = this.ledger.unusedUnits().map((unit) => unit.shape);
    const shapes = new Map<string, Shape>();
    [...guaranteed, ...queue.map((entry) => entry.job.shape)].forEach((shape) =>
      shapes.set(shapeKey(shape), shape),
    );
    return [...shapes.values()]
      .sort((left, right) => acceleratorsOf(right) - acceleratorsOf(left))
      .slice(0, maxShapesOfInterest);
  }

  private placeEntry(entry: QueueEntry): void {
    const { job } = entry;
    if (this.draining.has(job.account) || !this.isWithinLimit(job)) {
      this.explain(job, `account "${job.account}" is at its accelerator limit`);
      // A large job that has waited long gets its account's next accelerators, not a smaller one.
      if (entry.rank !== Rank.ordinary) {
        this.draining.add(job.account);
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
    return this.books.heldBy(job.account) + acceleratorsOf(job.shape) <= limit;
  }

  // An urgent job may take over the unit of a less urgent attempt of its own account, which
  // becomes a borrower.
  private guaranteeFor(job: Job): GuaranteeEntry | undefined {
    const unused = this.ledger.unusedFor(job.account, job.shape);
    if (unused !== undefined || job.urgency !== Urgency.urgent) {
      return unused;
    }
    const holder = this.lessUrgentHolder(job);
    if (holder?.guarantee === undefined) {
      return undefined;
    }
    this.draft.updateAttempt(holder.id, { guarantee: undefined });
    this.books.uncover(holder);
    this.ledger.release(holder.guarantee);
    return this.ledger.unusedFor(job.account, job.shape);
  }

  private lessUrgentHolder(job: Job): Attempt | undefined {
    const fitting = this.ledger.fitting(job.account, job.shape);
    const names = new Set(fitting.map((entry) => entry.name));
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
      this.firstSafe(job, guarantee, this.freePlaces(job, avoided)) ??
      this.firstSafe(job, guarantee, this.reclaims(job, avoided)) ??
      this.witnessedChoice(job, guarantee);
    if (choice === undefined) {
      this.explain(job, `guarantee "${guarantee.name}" cannot be met by the usable workers`);
      return false;
    }
    this.commit(job, choice, guarantee.name);
    return true;
  }

  private freePlaces(job: Job, avoided: ReadonlySet<number>): Choice[] {
    return this.search
      .find(this.books.free, job.shape, avoided)
      .map(({ shares }) => ({ shares, victims: [] }));
  }

  private reclaims(job: Job, avoided: ReadonlySet<number>): Choice[] {
    const search = new ReclaimSearch(this.borrowers.reclaimable);
    return search.find(this.books.soonFree, job.shape, avoided);
  }

  // The first placement that leaves all other unused guarantees possible together.
  private firstSafe(
    job: Job,
    guarantee: GuaranteeEntry,
    choices: readonly Choice[],
  ): Choice | undefined {
    const { promised } = this.books;
    const others = this.unitsWithout(guarantee);
    return choices.slice(0, maxGuaranteedCandidates).find((choice) => {
      promised.take(choice.shares, job.shape.acceleratorsPerWorker);
      const isSafe = this.input.witness.canPlaceAll(promised, others);
      promised.give(choice.shares, job.shape.acceleratorsPerWorker);
      return isSafe;
    });
  }

  // The witness of the unit itself: taking its place leaves all other units theirs.
  private witnessedChoice(job: Job, guarantee: GuaranteeEntry): Choice | undefined {
    const units = this.ledger.unusedUnits();
    const unit = units.find((candidate) => candidate.guarantee === guarantee.name);
    const witness = this.input.witness.solve(this.books.promised, units);
    const places = unit === undefined ? undefined : witness.places.get(unit.id);
    if (places === undefined) {
      return undefined;
    }
    const wanted = new Set(places.map((place) => place.worker));
    const all = this.books.whole.workers.map((_, worker) => worker);
    return this.reclaims(job, new Set(all.filter((worker) => !wanted.has(worker))))[0];
  }

  private unitsWithout(guarantee: GuaranteeEntry): GuaranteeUnit[] {
    const units = this.ledger.unusedUnits();
    const own = units.findLastIndex((unit) => unit.guarantee === guarantee.name);
    return units.filter((_, index) => index !== own);
  }

  private placeBorrower(entry: QueueEntry): void {
    const { job, rank } = entry;
    const key = `${rank}/${shapeKey(job.shape)}/${job.failedWorkers.join()}`;
    if (this.blocked.has(key)) {
      return;
    }
    const avoided = this.avoidedWorkers(job);
    const choice = this.freePlaces(job, avoided)[0] ?? this.stopFor(entry, avoided);
    if (choice !== undefined) {
      this.commit(job, choice);
      return;
    }
    this.blocked.add(key);
    this.explain(job, `waits for ${describeShape(job.shape)}`);
    if (rank !== Rank.ordinary) {
      this.holdFor(job.shape);
    }
  }

  private stopFor(entry: QueueEntry, avoided: ReadonlySet<number>): Choice | undefined {
    const search = new ReclaimSearch(this.borrowers.stoppableFor(entry));
    return search.find(this.books.soonFree, entry.job.shape, avoided)[0];
  }

  // Keeps the rack that is nearest to holding the gang from being filled by jobs behind it.
  private holdFor(shape: Shape): void {
    if (this.isHolding) {
      return;
    }
    this.isHolding = true;
    const { free } = this.books;
    const rooms = free.racks.map((workers) => free.taskRoom(workers, shape.acceleratorsPerWorker));
    const roomiest = rooms.indexOf(Math.max(...rooms));
    (free.racks[roomiest] ?? []).forEach((worker) => free.adjust(worker, -free.freeOf(worker)));
  }

  private commit(job: Job, choice: Choice, guarantee?: string): void {
    choice.victims.forEach((victim) => this.stop(victim, `stopped for job "${job.name}"`));
    const attempt = this.createAttempt(job, choice, guarantee);
    this.draft.addAttempt(attempt);
    const reason = describePlacement(attempt, choice.victims.length);
    const attemptCount = job.attemptCount + 1;
    this.draft.advanceJob(job.id, JobEvent.place, { attemptCount, reason });
    this.books.enter(attempt);
    if (guarantee !== undefined) {
      this.ledger.use(guarantee);
    }
  }

  // The accelerators of a victim stay taken until it has stopped; the new attempt waits for them.
  private stop(victim: Attempt, reason: string): void {
    this.draft.updateJob(victim.jobId, { reason });
    this.books.noteStopping(victim);
    if (victim.state === AttemptState.placing) {
      leave(this.draft, victim, AttemptEvent.reclaimed, this.now);
      return;
    }
    const stopBy = this.now + checkpointWindowMs;
    this.draft.advanceAttempt(victim.id, AttemptEvent.reclaimed, { stopBy });
  }

  private createAttempt(job: Job, choice: Choice, guarantee?: string): Attempt {
    const { workers } = this.books.whole;
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

  // A borrower whose account has a unit to spare is safe from reclaim under that unit.
  private promoteBorrowers(): void {
    this.borrowers.running.forEach(({ attempt, job }) => {
      const guarantee = this.ledger.unusedFor(job.account, job.shape);
      if (guarantee === undefined) {
        return;
      }
      this.books.cover(attempt);
      const others = this.unitsWithout(guarantee);
      if (!this.input.witness.canPlaceAll(this.books.promised, others)) {
        this.books.uncover(attempt);
        return;
      }
      this.draft.updateAttempt(attempt.id, { guarantee: guarantee.name });
      this.ledger.use(guarantee.name);
    });
  }

  // Moves one borrower when that makes room for useful shapes that scattered tasks break up.
  private consolidate(): void {
    const isMoving = this.draft.attempts.some(
      (attempt) => attempt.state !== AttemptState.running && attempt.state !== AttemptState.over,
    );
    if (isMoving) {
      return;
    }
    const weight = this.input.configuration.deployment['completion-weight'];
    const consolidation = new Consolidation(this.search, weight);
    const move = consolidation.find(this.books.free, this.borrowers.movable);
    if (move !== undefined) {
      this.stop(move.attempt, 'moved to make room for larger gangs');
    }
  }

  // Workers where the job has failed, unless it cannot do without them.
  private avoidedWorkers(job: Job): ReadonlySet<number> {
    const { whole } = this.books;
    const indexes = job.failedWorkers.map((workerId) => whole.indexOf(workerId));
    const avoided = new Set(indexes.filter((index) => index !== undefined));
    return avoided.size === 0 || canEverHold(whole, job.shape, avoided) ? avoided : new Set();
  }

  private withoutQuarantined(worker: WorkerView): WorkerView {
    const isBanned = isQuarantined(this.draft.worker(worker.id), this.now);
    return isBanned ? { ...worker, isUsable: false } : worker;
  }

  // Only a changed reason is written: waiting alone does not change the plan.
  private explain(job: Job, reason: string): void {
    if (job.reason !== reason) {
      this.draft.updateJob(job.id, { reason });
    }
  }
}

function canEverHold(whole: Capacity, shape: Shape, avoided: ReadonlySet<number>): boolean {
  const racks = whole.racks.map((workers) => workers.filter((worker) => !avoided.has(worker)));
  const groups = shape.adjacency === Adjacency.rack ? racks : [racks.flat()];
  const per = shape.acceleratorsPerWorker;
  return groups.some((workers) => whole.taskRoom(workers, per) >= shape.workers);
}

function shapeKey(shape: Shape): string {
  return `${shape.workers}x${shape.acceleratorsPerWorker}/${shape.adjacency}`;
}
