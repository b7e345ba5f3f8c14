import type { Configuration } from '@apricothoist/config';
import { Adjacency, Urgency } from '@apricothoist/config';

import { Capacity } from './Capacity.js';
import type { WorkerShare, WorkerView } from './Capacity.js';
import { AttemptEvent, AttemptState, JobEvent, JobState } from './charts.js';
import { Consolidation } from './Consolidation.js';
import { GuaranteeLedger, guaranteesOf } from './GuaranteeLedger.js';
import type { GuaranteeEntry } from './GuaranteeLedger.js';
import type { GuaranteeUnit, GuaranteeWitness } from './GuaranteeWitness.js';
import { leave } from './observe.js';
import { PlacementSearch } from './PlacementSearch.js';
import type { Attempt, Job, Shape } from './Plan.js';
import { acceleratorsOf } from './Plan.js';
import type { PlanDraft } from './PlanDraft.js';
import type { QueueEntry } from './QueueOrder.js';
import { compareEntries, Rank, remainingMs, toQueueEntry } from './QueueOrder.js';
import { occupy, ReclaimSearch, release } from './ReclaimSearch.js';
import { isQuarantined } from './WorkerHistory.js';

/** Time in milliseconds that a reclaimed attempt has for its checkpoint. */
const checkpointWindowMs = 1_500;
/** Time in milliseconds within which all workers must have reserved their part. */
const reserveWindowMs = 4_000;
/** Run time in milliseconds before a borrower may be stopped for a shorter job. */
const minQuantumMs = 10 * 60_000;
/** How many times more work a borrower must have left than the job it is stopped for. */
const minRemainingRatio = 4;
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

  /** All accelerators of the usable workers. */
  private readonly whole: Capacity;

  /** Accelerators that nothing holds. */
  private readonly free: Capacity;

  /** Accelerators that nothing holds, or only attempts that are being stopped. */
  private readonly soonFree: Capacity;

  /** Accelerators that are free or held by borrowers: what guarantees can count on. */
  private readonly promised: Capacity;

  private readonly ledger: GuaranteeLedger;

  private readonly held = new Map<string, number>();

  private readonly blocked = new Set<string>();

  /** Accounts that start nothing until a large job of theirs is within their limit. */
  private readonly draining = new Set<string>();

  private search = new PlacementSearch([]);

  private isHolding = false;

  public constructor(private readonly input: PlacementInput) {
    this.draft = input.draft;
    this.now = input.now;
    const { attempts } = this.draft;
    this.free = Capacity.of(input.workers.map((worker) => this.withoutQuarantined(worker)));
    this.whole = this.free.clone();
    this.soonFree = this.free.clone();
    this.promised = this.free.clone();
    this.ledger = new GuaranteeLedger(
      guaranteesOf(input.configuration, input.dataCentre),
      attempts,
    );
    attempts
      .filter((attempt) => attempt.state !== AttemptState.over)
      .forEach((attempt) => {
        const remaining = withoutStopped(attempt);
        occupy(this.free, remaining);
        if (!isStopping(attempt)) {
          occupy(this.soonFree, remaining);
        }
        if (attempt.guarantee !== undefined) {
          occupy(this.promised, remaining);
        }
        this.addHeld(attempt.account, acceleratorsHeld(attempt));
      });
  }

  /** Places what can be placed. Returns the guarantee units that cannot be met at present. */
  public run(): readonly GuaranteeUnit[] {
    const queue = this.orderedQueue();
    this.search = new PlacementSearch(this.shapesOfInterest(queue));
    queue.forEach((entry) => this.placeEntry(entry));
    this.promoteBorrowers();
    this.consolidate();
    return this.input.witness.solve(this.promised, this.ledger.unusedUnits()).unplaced;
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
    return (this.held.get(job.account) ?? 0) + acceleratorsOf(job.shape) <= limit;
  }

  // An urgent job may take over the unit of a less urgent attempt of its own account, which
  // becomes a borrower.
  private guaranteeFor(job: Job): GuaranteeEntry | undefined {
    const unused = this.ledger.unusedFor(job.account, job.shape);
    if (unused !== undefined || job.urgency !== Urgency.urgent) {
      return unused;
    }
    const fitting = this.ledger.fitting(job.account, job.shape);
    const names = new Set(fitting.map((entry) => entry.name));
    const holder = this.draft.attempts.find(
      (attempt) =>
        attempt.guarantee !== undefined &&
        names.has(attempt.guarantee) &&
        attempt.urgency !== Urgency.urgent &&
        attempt.state === AttemptState.running,
    );
    if (holder?.guarantee === undefined) {
      return undefined;
    }
    this.draft.updateAttempt(holder.id, { guarantee: undefined });
    release(this.promised, withoutStopped(holder));
    this.ledger.release(holder.guarantee);
    return this.ledger.unusedFor(job.account, job.shape);
  }

  private placeGuaranteed(job: Job, guarantee: GuaranteeEntry): boolean {
    const avoided = this.avoidedWorkers(job);
    const free = this.search.find(this.free, job.shape, avoided).map(toChoice);
    const choice =
      this.firstSafe(job, guarantee, free) ??
      this.firstSafe(job, guarantee, this.reclaims(job, avoided)) ??
      this.witnessedChoice(job, guarantee);
    if (choice === undefined) {
      this.explain(job, `guarantee "${guarantee.name}" cannot be met by the usable workers`);
      return false;
    }
    this.commit(job, choice, guarantee.name);
    return true;
  }

  private reclaims(job: Job, avoided: ReadonlySet<number>): Choice[] {
    const victims = this.borrowers(() => true);
    return new ReclaimSearch(victims).find(this.soonFree, job.shape, avoided);
  }

  private firstSafe(
    job: Job,
    guarantee: GuaranteeEntry,
    choices: readonly Choice[],
  ): Choice | undefined {
    const others = this.unitsWithout(guarantee);
    return choices.slice(0, maxGuaranteedCandidates).find((choice) => {
      this.promised.take(choice.shares, job.shape.acceleratorsPerWorker);
      const isSafe = this.input.witness.canPlaceAll(this.promised, others);
      this.promised.give(choice.shares, job.shape.acceleratorsPerWorker);
      return isSafe;
    });
  }

  // The witness of the unit itself: taking its place leaves all other units theirs.
  private witnessedChoice(job: Job, guarantee: GuaranteeEntry): Choice | undefined {
    const units = this.ledger.unusedUnits();
    const unit = units.find((candidate) => candidate.guarantee === guarantee.name);
    const witness = this.input.witness.solve(this.promised, units);
    const places = unit === undefined ? undefined : witness.places.get(unit.id);
    if (places === undefined) {
      return undefined;
    }
    const wanted = new Set(places.map((place) => place.worker));
    const outside = new Set(
      this.free.workers.map((_, index) => index).filter((worker) => !wanted.has(worker)),
    );
    return new ReclaimSearch(this.borrowers(() => true)).find(this.soonFree, job.shape, outside)[0];
  }

  private unitsWithout(guarantee: GuaranteeEntry): GuaranteeUnit[] {
    const units = this.ledger.unusedUnits();
    const own = units.findLastIndex((unit) => unit.guarantee === guarantee.name);
    return units.filter((_, index) => index !== own);
  }

  private placeBorrower(entry: QueueEntry): void {
    const { job } = entry;
    const key = `${shapeKey(job.shape)}/${job.failedWorkers.join()}`;
    const rankKey = `${entry.rank}/${key}`;
    if (this.blocked.has(rankKey)) {
      return;
    }
    const avoided = this.avoidedWorkers(job);
    const choice =
      this.search.find(this.free, job.shape, avoided).map(toChoice)[0] ??
      this.stopFor(entry, avoided);
    if (choice !== undefined) {
      this.commit(job, choice);
      return;
    }
    this.blocked.add(rankKey);
    this.explain(job, `waits for ${describeShape(job.shape)}`);
    if (entry.rank !== Rank.ordinary) {
      this.holdFor(job.shape);
    }
  }

  private stopFor(entry: QueueEntry, avoided: ReadonlySet<number>): Choice | undefined {
    const { estimates } = this.draft;
    const rules: Record<Rank, (victim: Attempt, job: Job) => boolean> = {
      [Rank.urgent]: (victim) => victim.urgency !== Urgency.urgent,
      [Rank.pressing]: (victim, job) => victim.urgency !== Urgency.urgent && !job.finishBy,
      [Rank.guaranteed]: () => false,
      [Rank.aged]: (victim) => victim.urgency !== Urgency.urgent && this.hasHadQuantum(victim),
      [Rank.ordinary]: (victim, job) =>
        victim.urgency !== Urgency.urgent &&
        this.hasHadQuantum(victim) &&
        remainingMs({ ...job, checkpointMs: victim.progressMs }, estimates) *
          acceleratorsOf(job.shape) >=
          entry.remaining * minRemainingRatio,
    };
    const victims = this.borrowers(rules[entry.rank]);
    return new ReclaimSearch(victims).find(this.soonFree, entry.job.shape, avoided)[0];
  }

  private hasHadQuantum(attempt: Attempt): boolean {
    return attempt.startedAt !== undefined && this.now - attempt.startedAt >= minQuantumMs;
  }

  // Keeps the rack that is nearest to holding the gang from being filled by jobs behind it.
  private holdFor(shape: Shape): void {
    if (this.isHolding) {
      return;
    }
    this.isHolding = true;
    const rooms = this.free.racks.map((workers) =>
      this.free.taskRoom(workers, shape.acceleratorsPerWorker),
    );
    const best = rooms.indexOf(Math.max(...rooms));
    (this.free.racks[best] ?? []).forEach((worker) => {
      this.free.adjust(worker, -this.free.freeOf(worker));
    });
  }

  private borrowers(rule: (victim: Attempt, job: Job) => boolean): Attempt[] {
    return this.draft.attempts.filter((attempt) => {
      const isStoppable =
        attempt.guarantee === undefined &&
        (attempt.state === AttemptState.running || attempt.state === AttemptState.placing);
      const job = isStoppable ? this.draft.job(attempt.jobId) : undefined;
      return job !== undefined && rule(attempt, job);
    });
  }

  private commit(job: Job, choice: Choice, guarantee?: string): void {
    choice.victims.forEach((victim) => this.stop(victim, job));
    const attempt = this.createAttempt(job, choice, guarantee);
    this.draft.addAttempt(attempt);
    const reason = describePlacement(attempt, choice.victims.length);
    const attemptCount = job.attemptCount + 1;
    this.draft.advanceJob(job.id, JobEvent.place, { attemptCount, reason });
    occupy(this.free, attempt);
    occupy(this.soonFree, attempt);
    this.addHeld(job.account, acceleratorsHeld(attempt));
    if (guarantee !== undefined) {
      occupy(this.promised, attempt);
      this.ledger.use(guarantee);
    }
  }

  // The accelerators of a victim stay taken until it has stopped; the new attempt waits for them.
  private stop(victim: Attempt, job: Job): void {
    const reason = `stopped for job "${job.name}"`;
    this.draft.updateJob(victim.jobId, { reason });
    release(this.soonFree, withoutStopped(victim));
    if (victim.state === AttemptState.placing) {
      leave(this.draft, victim, AttemptEvent.reclaimed, this.now);
      return;
    }
    const stopBy = this.now + checkpointWindowMs;
    this.draft.advanceAttempt(victim.id, AttemptEvent.reclaimed, { stopBy });
  }

  private createAttempt(job: Job, choice: Choice, guarantee?: string): Attempt {
    const tasks = choice.shares.flatMap((share) =>
      Array.from({ length: share.tasks }, () => ({
        workerId: this.free.workers[share.worker]?.id ?? '',
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

  // Moves one borrower when that makes room for useful shapes that scattered tasks break up.
  private consolidate(): void {
    const isMoving = this.draft.attempts.some(
      (attempt) => attempt.state !== AttemptState.running && attempt.state !== AttemptState.over,
    );
    if (isMoving) {
      return;
    }
    const weight = this.input.configuration.deployment['completion-weight'];
    const movables = this.borrowers((attempt) => this.hasHadQuantum(attempt)).flatMap((attempt) => {
      const job = this.draft.job(attempt.jobId);
      return job === undefined ? [] : [{ attempt, job }];
    });
    const move = new Consolidation(this.search, weight).find(this.free, movables);
    if (move !== undefined) {
      this.draft.updateJob(move.attempt.jobId, { reason: 'moved to make room for larger gangs' });
      const stopBy = this.now + checkpointWindowMs;
      this.draft.advanceAttempt(move.attempt.id, AttemptEvent.reclaimed, { stopBy });
    }
  }

  // A borrower whose account has a unit to spare is safe from reclaim under that unit.
  private promoteBorrowers(): void {
    this.borrowers((attempt) => attempt.state === AttemptState.running).forEach((attempt) => {
      const job = this.draft.job(attempt.jobId);
      const guarantee = job && this.ledger.unusedFor(job.account, job.shape);
      if (job === undefined || guarantee === undefined) {
        return;
      }
      occupy(this.promised, attempt);
      if (!this.input.witness.canPlaceAll(this.promised, this.unitsWithout(guarantee))) {
        release(this.promised, attempt);
        return;
      }
      this.draft.updateAttempt(attempt.id, { guarantee: guarantee.name });
      this.ledger.use(guarantee.name);
    });
  }

  // Workers where the job has failed, unless it cannot do without them.
  private avoidedWorkers(job: Job): ReadonlySet<number> {
    const indexes = job.failedWorkers.map((workerId) => this.free.indexOf(workerId));
    const avoided = new Set(indexes.filter((index) => index !== undefined));
    return avoided.size === 0 || canEverHold(this.whole, job.shape, avoided) ? avoided : new Set();
  }

  private withoutQuarantined(worker: WorkerView): WorkerView {
    const isBanned = isQuarantined(this.draft.worker(worker.id), this.now);
    return isBanned ? { ...worker, isUsable: false } : worker;
  }

  private addHeld(account: string, accelerators: number): void {
    this.held.set(account, (this.held.get(account) ?? 0) + accelerators);
  }

  // Only a changed reason is written: waiting alone does not change the plan.
  private explain(job: Job, reason: string): void {
    if (job.reason !== reason) {
      this.draft.updateJob(job.id, { reason });
    }
  }
}

function toChoice(placement: { readonly shares: readonly WorkerShare[] }): Choice {
  return { shares: placement.shares, victims: [] };
}

function canEverHold(whole: Capacity, shape: Shape, avoided: ReadonlySet<number>): boolean {
  const racks = whole.racks.map((workers) => workers.filter((worker) => !avoided.has(worker)));
  const groups = shape.adjacency === Adjacency.rack ? racks : [racks.flat()];
  const per = shape.acceleratorsPerWorker;
  return groups.some((workers) => whole.taskRoom(workers, per) >= shape.workers);
}

function isStopping(attempt: Attempt): boolean {
  return attempt.state === AttemptState.checkpointing || attempt.state === AttemptState.releasing;
}

function withoutStopped(attempt: Attempt): Attempt {
  return { ...attempt, tasks: attempt.tasks.filter((task) => !task.isStopped) };
}

function acceleratorsHeld(attempt: Attempt): number {
  return attempt.tasks.reduce((sum, task) => sum + (task.isStopped ? 0 : task.accelerators), 0);
}

function shapeKey(shape: Shape): string {
  return `${shape.workers}x${shape.acceleratorsPerWorker}/${shape.adjacency}`;
}

/** The shape in words. */
export function describeShape(shape: Shape): string {
  const place = shape.adjacency === 'rack' ? ' in one rack' : '';
  return `${shape.workers} x ${shape.acceleratorsPerWorker} accelerators${place}`;
}

function describePlacement(attempt: Attempt, victims: number): string {
  const workers = [...new Set(attempt.tasks.map((task) => task.workerId))].join(', ');
  const right = attempt.guarantee === undefined ? 'borrowed' : `guarantee "${attempt.guarantee}"`;
  const stopped = victims === 0 ? '' : `, stopping ${victims} borrowers`;
  return `placed on ${workers} (${right}${stopped})`;
}
