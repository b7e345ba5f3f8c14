import type { Configuration } from '@apricothoist/config';
import type { Attempt, Plan, WorkerObservation, WorkerView } from '@apricothoist/scheduler';
import {
  applyChanges,
  assignmentsOf,
  AttemptState,
  Capacity,
  createJob,
  createPlan,
  guaranteesOf,
  JobState,
  occupy,
  PlanChangeKind,
  Scheduler,
} from '@apricothoist/scheduler';
import { WorkerModel } from '@apricothoist/testing';

import { EventQueue } from '../EventQueue.js';
import { FragmentationMeter } from './FragmentationMeter.js';
import type { JobOutcome, ReplayResult } from './ReplayResult.js';
import type { ListedJob } from './Workload.js';

/** Time in milliseconds that a message to a worker and its report take. */
const roundTripMs = 20;
/** Time in milliseconds that a worker needs for a checkpoint. */
const checkpointMs = 1_000;
/** Interval in milliseconds at which the queue is looked at when nothing happens. */
const idleStepMs = 5 * 60_000;

/** Runs a job list under the product's scheduler, with worker stand-ins in virtual time. */
export class SchedulerReplay {
  private readonly scheduler: Scheduler;

  private readonly models: Map<string, WorkerModel>;

  private readonly jobsById = new Map<string, ListedJob>();

  private readonly firstStarts = new Map<string, number>();

  private readonly outcomes: JobOutcome[] = [];

  private readonly finished = new Set<string>();

  private readonly meter: FragmentationMeter;

  private plan: Plan;

  private readonly observations = new Map<string, WorkerObservation>();

  private described = new Map<string, string>();

  private events = new EventQueue();

  private identifiers = 0;

  private decisions = 0;

  private decisionMs = 0;

  private lostWork = 0;

  private refusedGuarantees = 0;

  public constructor(
    private readonly workers: readonly WorkerView[],
    private readonly configuration: Configuration,
    private readonly dataCentre: string,
  ) {
    this.scheduler = new Scheduler(() => this.createId());
    this.plan = createPlan(dataCentre);
    const behaviour = {
      runMs: (jobId: string) => this.jobsById.get(jobId)?.runMs ?? 0,
      checkpointMs,
      isFailing: () => false,
    };
    this.models = new Map(
      workers.map((worker) => [
        worker.id,
        new WorkerModel(worker.id, worker.accelerators, behaviour),
      ]),
    );
    const guarantees = guaranteesOf(configuration, dataCentre);
    this.meter = new FragmentationMeter(guarantees.map((entry) => entry.shape));
  }

  public run(jobs: readonly ListedJob[]): ReplayResult {
    jobs.forEach((job) => {
      this.jobsById.set(job.id, job);
      this.events.push(job.submitAt);
    });
    let next = 0;
    let isTicking = false;
    for (let now = this.events.pop(); now !== undefined;) {
      const due: ListedJob[] = [];
      for (let job = jobs[next]; job !== undefined && job.submitAt <= now; job = jobs[next]) {
        due.push(job);
        next += 1;
      }
      this.submit(due, now);
      this.step(now);
      const isWaiting = this.plan.jobs.some((job) => job.state === JobState.queued);
      if (isWaiting && (!isTicking || this.events.size === 0)) {
        this.events.push(now + idleStepMs);
      }
      isTicking = isWaiting && this.events.size > 0;
      const after = this.events.pop();
      if (after !== undefined) {
        this.meter.add(this.freeCapacity(), this.queuedShapes(), after - now);
      }
      now = after;
    }
    return this.result(jobs.length);
  }

  private submit(due: readonly ListedJob[], now: number): void {
    if (due.length === 0) {
      return;
    }
    const changes = due.map((job) => ({ kind: PlanChangeKind.submit, job: createJob(job, now) }));
    this.plan = applyChanges(this.plan, changes, now) ?? this.plan;
  }

  private step(now: number): void {
    this.collectReports(now);
    const startedAt = performance.now();
    const decision = this.scheduler.step({
      plan: this.plan,
      configuration: this.configuration,
      workers: this.workers,
      observations: this.observations,
      limits: { now, staleBefore: -Infinity, fencedRevision: -1, releasedBefore: -Infinity },
    });
    this.decisionMs += performance.now() - startedAt;
    this.decisions += 1;
    if (decision.plan !== undefined) {
      this.noteRefusals(decision.plan);
      this.plan = decision.plan;
      this.noteJobs(now);
      this.assign(now);
    }
  }

  private collectReports(now: number): void {
    this.described.forEach((_, id) => this.report(id, now));
  }

  private report(workerId: string, now: number): void {
    const model = this.models.get(workerId);
    if (model === undefined) {
      return;
    }
    const { planRevision, tasks } = model.read(now);
    this.observations.set(workerId, {
      workerId,
      planRevision,
      reportedAt: now,
      isGone: false,
      tasks: new Map(tasks.map((task) => [task.attemptId, task])),
    });
  }

  // Sends each worker its assignment when that has changed, and plans for what will happen there.
  private assign(now: number): void {
    const planned = assignmentsOf(this.plan);
    const touched = new Set([...planned.keys(), ...this.described.keys()]);
    touched.forEach((workerId) => {
      const tasks = planned.get(workerId) ?? [];
      const text = tasks.map((task) => `${task.attempt.id}/${task.phase}`).join();
      if (text === this.described.get(workerId)) {
        return;
      }
      this.models.get(workerId)?.assign(
        {
          planRevision: this.plan.revision,
          tasks: tasks.map(({ attempt, accelerators, phase }) => ({
            attemptId: attempt.id,
            jobId: attempt.jobId,
            accelerators,
            phase,
            leaseUntil: Infinity,
            stopBy: attempt.stopBy,
            resumeFromMs: attempt.resumeFromMs,
          })),
        },
        now,
      );
      this.described.set(workerId, text);
      this.events.push(now + roundTripMs);
      this.report(workerId, now);
    });
    this.plan.attempts.forEach((attempt) => this.scheduleEnd(attempt, now));
    this.described.forEach((text, workerId) => {
      if (text === '') {
        this.described.delete(workerId);
      }
    });
  }

  private scheduleEnd(attempt: Attempt, now: number): void {
    if (attempt.state === AttemptState.running && attempt.startedAt === now) {
      const runMs = this.jobsById.get(attempt.jobId)?.runMs ?? 0;
      this.events.push(now + runMs - attempt.resumeFromMs);
    }
    if (attempt.state === AttemptState.checkpointing) {
      this.events.push(Math.min(attempt.stopBy ?? now, now + checkpointMs));
    }
  }

  private noteJobs(now: number): void {
    this.plan.attempts.forEach((attempt) => {
      if (attempt.state === AttemptState.running && !this.firstStarts.has(attempt.jobId)) {
        this.firstStarts.set(attempt.jobId, now);
      }
    });
    this.plan.jobs.forEach((job) => {
      const listed = this.jobsById.get(job.id);
      if (job.state !== JobState.succeeded || this.finished.has(job.id) || listed === undefined) {
        return;
      }
      this.finished.add(job.id);
      const accelerators = job.shape.workers * job.shape.acceleratorsPerWorker;
      this.lostWork += accelerators * Math.max(0, job.attainedMs - listed.runMs);
      this.outcomes.push({
        id: job.id,
        urgency: job.urgency,
        accelerators,
        submittedAt: listed.submitAt,
        firstStartedAt: this.firstStarts.get(job.id) ?? now,
        finishedAt: now,
      });
    });
  }

  private noteRefusals(plan: Plan): void {
    const before = new Map(this.plan.jobs.map((job) => [job.id, job.reason]));
    this.refusedGuarantees += plan.jobs.filter(
      (job) => job.reason.includes('cannot be met') && before.get(job.id) !== job.reason,
    ).length;
  }

  private freeCapacity(): Capacity {
    const free = Capacity.of(this.workers);
    this.plan.attempts.forEach((attempt) => occupy(free, attempt));
    return free;
  }

  private queuedShapes() {
    return this.plan.jobs.filter((job) => job.state === JobState.queued).map((job) => job.shape);
  }

  private createId(): string {
    this.identifiers += 1;
    return `attempt-${this.identifiers}`;
  }

  private result(total: number): ReplayResult {
    return {
      policy: 'apricothoist',
      outcomes: this.outcomes,
      unfinished: total - this.finished.size,
      fragmentation: this.meter.mean,
      largeFragmentation: this.meter.meanLarge,
      lostWork: this.lostWork,
      refusedGuarantees: this.refusedGuarantees,
      decisions: this.decisions,
      decisionMs: this.decisionMs,
    };
  }
}
