import type { AttemptEvent, JobEvent } from './charts.js';
import { attemptChart, AttemptState, jobChart } from './charts.js';
import type { Attempt, EstimateRecord, Job, Plan, WorkerRecord } from './Plan.js';

/** Finished jobs that a plan keeps for operators. */
const maxFinishedJobs = 100;

/** A plan being changed. Records are replaced, never modified, so the base plan stays as it is. */
export class PlanDraft {
  private readonly jobsById: Map<string, Job>;

  private readonly attemptsById: Map<string, Attempt>;

  private readonly workersById: Map<string, WorkerRecord>;

  private readonly estimatesByKind: Map<string, EstimateRecord>;

  private isChanged = false;

  /** Revision that the changed plan will have. */
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
    this.isChanged = true;
    this.jobsById.set(job.id, job);
  }

  public addAttempt(attempt: Attempt): void {
    this.isChanged = true;
    this.attemptsById.set(attempt.id, attempt);
  }

  public updateJob(id: string, patch: Partial<Job>): void {
    const job = this.jobsById.get(id);
    if (job !== undefined) {
      this.isChanged = true;
      this.jobsById.set(id, { ...job, ...patch });
    }
  }

  public updateAttempt(id: string, patch: Partial<Attempt>): void {
    const attempt = this.attemptsById.get(id);
    if (attempt !== undefined) {
      this.isChanged = true;
      this.attemptsById.set(id, { ...attempt, ...patch });
    }
  }

  /** Notes progress without making the plan worth writing: it is reported again anyway. */
  public noteProgress(id: string, progressMs: number, checkpointMs: number): void {
    const attempt = this.attemptsById.get(id);
    if (attempt !== undefined) {
      this.attemptsById.set(id, { ...attempt, progressMs, checkpointMs });
    }
  }

  public setWorker(record: WorkerRecord): void {
    this.isChanged = true;
    this.workersById.set(record.workerId, record);
  }

  public setEstimate(record: EstimateRecord): void {
    this.isChanged = true;
    this.estimatesByKind.set(record.kind, record);
  }

  /** Applies an event to a job by its chart. Returns false when its state does not accept it. */
  public advanceJob(id: string, event: JobEvent, patch: Partial<Job> = {}): boolean {
    const job = this.jobsById.get(id);
    if (job === undefined || !jobChart.accepts(job.state, event)) {
      return false;
    }
    this.updateJob(id, { ...patch, state: jobChart.next(job.state, event) });
    return true;
  }

  /** Applies an event to an attempt by its chart. Returns false when its state does not accept it. */
  public advanceAttempt(id: string, event: AttemptEvent, patch: Partial<Attempt> = {}): boolean {
    const attempt = this.attemptsById.get(id);
    if (attempt === undefined || !attemptChart.accepts(attempt.state, event)) {
      return false;
    }
    this.updateAttempt(id, { ...patch, state: attemptChart.next(attempt.state, event) });
    return true;
  }

  /** The changed plan, or undefined when nothing worth writing has changed. */
  public finish(): Plan | undefined {
    if (!this.isChanged) {
      return undefined;
    }
    return {
      dataCentre: this.base.dataCentre,
      revision: this.revision,
      jobs: this.keptJobs(),
      attempts: this.attempts.filter((attempt) => attempt.state !== AttemptState.over),
      workers: [...this.workersById.values()].filter(isWorthKeeping),
      estimates: [...this.estimatesByKind.values()],
    };
  }

  private keptJobs(): Job[] {
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

function isWorthKeeping(worker: WorkerRecord): boolean {
  return worker.failedJobs.length > 0 || worker.quarantines > 0;
}
