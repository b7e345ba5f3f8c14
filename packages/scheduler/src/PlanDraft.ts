import type { AttemptEvent, JobEvent } from './charts.js';
import { attemptChart, AttemptState, jobChart } from './charts.js';
import type { Attempt, EstimateRecord, Job, Plan, WorkerRecord } from './Plan.js';

/** Finished jobs retained in the plan for operators to inspect. */
const maxFinishedJobs = 100;

/** A modified copy of a plan. Records are replaced, never mutated, so the base plan is unchanged. */
export class PlanDraft {
  private readonly jobsById: Map<string, Job>;

  private readonly attemptsById: Map<string, Attempt>;

  private readonly workersById: Map<string, WorkerRecord>;

  private readonly estimatesByKind: Map<string, EstimateRecord>;

  private hasChanges = false;

  /** Revision of the resulting plan. */
  public readonly revision: number;

  public constructor(private readonly base: Plan) {
    this.revision = base.revision + 1;
    this.jobsById = new Map(base.jobs.map((job) => [job.id, job]));
    this.attemptsById = new Map(base.attempts.map((attempt) => [attempt.id, attempt]));
    this.workersById = new Map(base.workers.map((worker) => [worker.workerId, worker]));
    this.estimatesByKind = new Map(base.estimates.map((estimate) => [estimate.kind, estimate]));
  }

  public get jobs(): Job[] {
    return [...this.jobsById.values()];
  }

  /** Attempts that may still hold accelerators. */
  public get attempts(): Attempt[] {
    return [...this.attemptsById.values()];
  }

  public get estimates(): ReadonlyMap<string, EstimateRecord> {
    return this.estimatesByKind;
  }

  public job(id: string): Job | undefined {
    return this.jobsById.get(id);
  }

  public attempt(id: string): Attempt | undefined {
    return this.attemptsById.get(id);
  }

  public worker(id: string): WorkerRecord {
    const known = this.workersById.get(id);
    return known ?? { workerId: id, failedJobs: [], quarantinedUntil: 0, quarantines: 0 };
  }

  public addJob(job: Job): void {
    this.hasChanges = true;
    this.jobsById.set(job.id, job);
  }

  public addAttempt(attempt: Attempt): void {
    this.hasChanges = true;
    this.attemptsById.set(attempt.id, attempt);
  }

  public updateJob(id: string, patch: Partial<Job>): void {
    const job = this.jobsById.get(id);
    if (job !== undefined) {
      this.hasChanges = true;
      this.jobsById.set(id, { ...job, ...patch });
    }
  }

  public updateAttempt(id: string, patch: Partial<Attempt>): void {
    const attempt = this.attemptsById.get(id);
    if (attempt !== undefined) {
      this.hasChanges = true;
      this.attemptsById.set(id, { ...attempt, ...patch });
    }
  }

  /** Records progress without marking the plan as changed, because workers report progress again. */
  public recordProgress(id: string, progressMs: number, checkpointMs: number): void {
    const attempt = this.attemptsById.get(id);
    if (attempt !== undefined) {
      this.attemptsById.set(id, { ...attempt, progressMs, checkpointMs });
    }
  }

  public setWorker(record: WorkerRecord): void {
    this.hasChanges = true;
    this.workersById.set(record.workerId, record);
  }

  public setEstimate(record: EstimateRecord): void {
    this.hasChanges = true;
    this.estimatesByKind.set(record.kind, record);
  }

  /** Applies a state chart event to a job. Returns false if the current state does not accept it. */
  public advanceJob(id: string, event: JobEvent, patch: Partial<Job> = {}): boolean {
    const job = this.jobsById.get(id);
    if (job === undefined || !jobChart.accepts(job.state, event)) {
      return false;
    }
    this.updateJob(id, { ...patch, state: jobChart.next(job.state, event) });
    return true;
  }

  /** Applies a state chart event to an attempt. Returns false if its state does not accept it. */
  public advanceAttempt(id: string, event: AttemptEvent, patch: Partial<Attempt> = {}): boolean {
    const attempt = this.attemptsById.get(id);
    if (attempt === undefined || !attemptChart.accepts(attempt.state, event)) {
      return false;
    }
    this.updateAttempt(id, { ...patch, state: attemptChart.next(attempt.state, event) });
    return true;
  }

  /** The resulting plan, or undefined if nothing has changed that must be stored. */
  public finish(): Plan | undefined {
    if (!this.hasChanges) {
      return undefined;
    }
    return {
      dataCentre: this.base.dataCentre,
      revision: this.revision,
      jobs: this.retainedJobs(),
      attempts: this.attempts.filter((attempt) => attempt.state !== AttemptState.over),
      workers: [...this.workersById.values()].filter(hasFailureHistory),
      estimates: [...this.estimatesByKind.values()],
    };
  }

  private retainedJobs(): Job[] {
    const finished = this.jobs.filter((job) => job.finishedAt !== undefined);
    const excess = finished.length - maxFinishedJobs;
    if (excess <= 0) {
      return this.jobs;
    }
    finished.sort((left, right) => (left.finishedAt ?? 0) - (right.finishedAt ?? 0));
    const dropped = new Set(finished.slice(0, excess).map((job) => job.id));
    return this.jobs.filter((job) => !dropped.has(job.id));
  }
}

function hasFailureHistory(worker: WorkerRecord): boolean {
  return worker.failedJobs.length > 0 || worker.quarantines > 0;
}
