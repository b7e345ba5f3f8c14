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
  allocateTasks,
  PlanChangeKind,
  Scheduler,
} from '@apricothoist/scheduler';
import { WorkerModel } from '@apricothoist/testing';

import { EventQueue } from '../EventQueue.js';
import { FragmentationMeter } from './FragmentationMeter.js';
import type { JobOutcome, ReplayResult } from './ReplayResult.js';
import type { WorkloadJob } from './Workload.js';

/** Round-trip time in milliseconds of an assignment to a worker and its report. */
const roundTripMs = 20;
/** Time in milliseconds that a worker takes to write a checkpoint. */
const checkpointMs = 1_000;
/** Interval in milliseconds after which queued jobs are considered again without another event. */
const queuePollIntervalMs = 5 * 60_000;

/** Replays a workload with the production scheduler against fake workers in virtual time. */
export class SchedulerReplay {
  private readonly scheduler: Scheduler;

  private readonly workerModels: Map<string, WorkerModel>;

  private readonly jobsById = new Map<string, WorkloadJob>();

  private readonly firstStarts = new Map<string, number>();

  private readonly outcomes: JobOutcome[] = [];

  private readonly finishedJobs = new Set<string>();

  private readonly meter: FragmentationMeter;

  private plan: Plan;

  private readonly observations = new Map<string, WorkerObservation>();

  /** Worker ID to the tasks and phases of the last assignment that it was sent. */
  private sentAssignments = new Map<string, string>();

  private events = new EventQueue();

  private attemptIdCount = 0;

  private decisions = 0;

  private decisionMs = 0;

  private lostWork = 0;

  private refusedGuarantees = 0;

  public constructor(
    private readonly workers: readonly WorkerView[],
    private readonly configuration: Configuration,
    private readonly dataCentre: string,
  ) {
    this.scheduler = new Scheduler(() => this.createAttemptId());
    this.plan = createPlan(dataCentre);
    const behaviour = {
      runMs: (jobId: string) => this.jobsById.get(jobId)?.runMs ?? 0,
      checkpointMs,
      isFailing: () => false,
    };
    this.workerModels = new Map(
      workers.map((worker) => [
        worker.id,
        new WorkerModel(worker.id, worker.accelerators, behaviour),
      ]),
    );
    const guarantees = guaranteesOf(configuration, dataCentre);
    this.meter = new FragmentationMeter(guarantees.map((entry) => entry.shape));
  }

  public run(jobs: readonly WorkloadJob[]): ReplayResult {
    jobs.forEach((job) => {
      this.jobsById.set(job.id, job);
      this.events.push(job.submitAt);
    });
    let nextIndex = 0;
    let isPollScheduled = false;
    for (let now = this.events.pop(); now !== undefined;) {
      const due: WorkloadJob[] = [];
      for (
        let job = jobs[nextIndex];
        job !== undefined && job.submitAt <= now;
        job = jobs[nextIndex]
      ) {
        due.push(job);
        nextIndex += 1;
      }
      this.submit(due, now);
      this.step(now);
      const isWaiting = this.plan.jobs.some((job) => job.state === JobState.queued);
      if (isWaiting && (!isPollScheduled || this.events.size === 0)) {
        this.events.push(now + queuePollIntervalMs);
      }
      isPollScheduled = isWaiting && this.events.size > 0;
      const nextTime = this.events.pop();
      if (nextTime !== undefined) {
        this.meter.addInterval(this.freeCapacity(), this.queuedShapes(), nextTime - now);
      }
      now = nextTime;
    }
    return this.createResult(jobs.length);
  }

  private submit(due: readonly WorkloadJob[], now: number): void {
    if (due.length === 0) {
      return;
    }
    const changes = due.map((job) => ({ kind: PlanChangeKind.submit, job: createJob(job, now) }));
    this.plan = applyChanges(this.plan, changes, now) ?? this.plan;
  }

  private step(now: number): void {
    this.updateObservations(now);
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
      this.countRefusedGuarantees(decision.plan);
      this.plan = decision.plan;
      this.recordJobProgress(now);
      this.sendAssignments(now);
    }
  }

  private updateObservations(now: number): void {
    this.sentAssignments.forEach((_, id) => this.updateObservation(id, now));
  }

  private updateObservation(workerId: string, now: number): void {
    const model = this.workerModels.get(workerId);
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

  // Sends the changed assignments to the workers and schedules the events that follow from them.
  private sendAssignments(now: number): void {
    const plannedAssignments = assignmentsOf(this.plan);
    const affectedWorkers = new Set([...plannedAssignments.keys(), ...this.sentAssignments.keys()]);
    affectedWorkers.forEach((workerId) => {
      const tasks = plannedAssignments.get(workerId) ?? [];
      const signature = tasks.map((task) => `${task.attempt.id}/${task.phase}`).join();
      if (signature === this.sentAssignments.get(workerId)) {
        return;
      }
      this.workerModels.get(workerId)?.assign(
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
      this.sentAssignments.set(workerId, signature);
      this.events.push(now + roundTripMs);
      this.updateObservation(workerId, now);
    });
    this.plan.attempts.forEach((attempt) => this.scheduleAttemptEnd(attempt, now));
    this.sentAssignments.forEach((signature, workerId) => {
      if (signature === '') {
        this.sentAssignments.delete(workerId);
      }
    });
  }

  private scheduleAttemptEnd(attempt: Attempt, now: number): void {
    if (attempt.state === AttemptState.running && attempt.startedAt === now) {
      const runMs = this.jobsById.get(attempt.jobId)?.runMs ?? 0;
      this.events.push(now + runMs - attempt.resumeFromMs);
    }
    if (attempt.state === AttemptState.checkpointing) {
      this.events.push(Math.min(attempt.stopBy ?? now, now + checkpointMs));
    }
  }

  private recordJobProgress(now: number): void {
    this.plan.attempts.forEach((attempt) => {
      if (attempt.state === AttemptState.running && !this.firstStarts.has(attempt.jobId)) {
        this.firstStarts.set(attempt.jobId, now);
      }
    });
    this.plan.jobs.forEach((job) => {
      const workloadJob = this.jobsById.get(job.id);
      if (
        job.state !== JobState.succeeded ||
        this.finishedJobs.has(job.id) ||
        workloadJob === undefined
      ) {
        return;
      }
      this.finishedJobs.add(job.id);
      const accelerators = job.shape.workers * job.shape.acceleratorsPerWorker;
      this.lostWork += accelerators * Math.max(0, job.attainedMs - workloadJob.runMs);
      this.outcomes.push({
        id: job.id,
        urgency: job.urgency,
        accelerators,
        submittedAt: workloadJob.submitAt,
        firstStartedAt: this.firstStarts.get(job.id) ?? now,
        finishedAt: now,
      });
    });
  }

  private countRefusedGuarantees(plan: Plan): void {
    const previousReasons = new Map(this.plan.jobs.map((job) => [job.id, job.reason]));
    this.refusedGuarantees += plan.jobs.filter(
      (job) => job.reason.includes('cannot be met') && previousReasons.get(job.id) !== job.reason,
    ).length;
  }

  private freeCapacity(): Capacity {
    const free = Capacity.of(this.workers);
    this.plan.attempts.forEach((attempt) => allocateTasks(free, attempt));
    return free;
  }

  private queuedShapes() {
    return this.plan.jobs.filter((job) => job.state === JobState.queued).map((job) => job.shape);
  }

  private createAttemptId(): string {
    this.attemptIdCount += 1;
    return `attempt-${this.attemptIdCount}`;
  }

  private createResult(total: number): ReplayResult {
    return {
      policy: 'apricothoist',
      outcomes: this.outcomes,
      unfinished: total - this.finishedJobs.size,
      fragmentation: this.meter.mean,
      largeFragmentation: this.meter.meanOfLargest,
      lostWork: this.lostWork,
      refusedGuarantees: this.refusedGuarantees,
      decisions: this.decisions,
      decisionMs: this.decisionMs,
    };
  }
}
