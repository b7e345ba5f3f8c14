import type { Configuration } from '@apricothoist/config';
import type { WorkerShare, WorkerView } from '@apricothoist/scheduler';
import { candidatePlacements, Capacity, guaranteesOf } from '@apricothoist/scheduler';

import { EventQueue } from '../EventQueue.js';
import { FragmentationMeter } from './FragmentationMeter.js';
import type { JobOutcome, ReplayResult } from './ReplayResult.js';
import type { WorkloadJob } from './Workload.js';

export const BaselinePolicy = { fifo: 'FIFO first-fit', backfill: 'best-fit backfill' } as const;
export type BaselinePolicy = (typeof BaselinePolicy)[keyof typeof BaselinePolicy];

interface RunningJob {
  readonly job: WorkloadJob;
  readonly shares: readonly WorkerShare[];
  readonly startedAt: number;
  readonly finishAt: number;
}

/** Replays a workload under a baseline policy without guarantees, urgency classes or preemption. */
export class BaselineReplay {
  private readonly free: Capacity;

  private readonly queue: WorkloadJob[] = [];

  private running: RunningJob[] = [];

  private readonly outcomes: JobOutcome[] = [];

  private readonly meter: FragmentationMeter;

  private decisions = 0;

  private decisionMs = 0;

  public constructor(
    private readonly policy: BaselinePolicy,
    workers: readonly WorkerView[],
    configuration: Configuration,
    dataCentre: string,
  ) {
    this.free = Capacity.of(workers);
    this.meter = new FragmentationMeter(
      guaranteesOf(configuration, dataCentre).map((entry) => entry.shape),
    );
  }

  public run(jobs: readonly WorkloadJob[]): ReplayResult {
    const events = new EventQueue();
    jobs.forEach((job) => events.push(job.submitAt));
    let nextIndex = 0;
    for (let now = events.pop(); now !== undefined;) {
      for (
        let job = jobs[nextIndex];
        job !== undefined && job.submitAt <= now;
        job = jobs[nextIndex]
      ) {
        this.queue.push(job);
        nextIndex += 1;
      }
      this.completeDueJobs(now);
      const startedAt = performance.now();
      this.startJobs(now, events);
      this.decisionMs += performance.now() - startedAt;
      this.decisions += 1;
      const nextTime = events.pop();
      if (nextTime !== undefined) {
        this.meter.addInterval(
          this.free,
          this.queue.map((job) => job.shape),
          nextTime - now,
        );
      }
      now = nextTime;
    }
    return {
      policy: this.policy,
      outcomes: this.outcomes,
      unfinished: this.queue.length,
      fragmentation: this.meter.mean,
      largeFragmentation: this.meter.meanOfLargest,
      lostWork: 0,
      refusedGuarantees: 0,
      decisions: this.decisions,
      decisionMs: this.decisionMs,
    };
  }

  private completeDueJobs(now: number): void {
    const completed = this.running.filter((entry) => entry.finishAt <= now);
    this.running = this.running.filter((entry) => entry.finishAt > now);
    completed.forEach(({ job, shares, startedAt, finishAt }) => {
      this.free.release(shares, job.shape.acceleratorsPerWorker);
      this.outcomes.push({
        id: job.id,
        urgency: job.urgency,
        accelerators: job.shape.workers * job.shape.acceleratorsPerWorker,
        submittedAt: job.submitAt,
        firstStartedAt: startedAt,
        finishedAt: finishAt,
      });
    });
  }

  private startJobs(now: number, events: EventQueue): void {
    while (this.queue.length > 0 && this.tryStart(0, now, events)) {
      // The head of the queue has started; try the next job.
    }
    if (this.policy === BaselinePolicy.backfill && this.queue.length > 0) {
      this.backfill(now, events);
    }
  }

  // Backfill: a later job may start if its declared run time lets it end before the job at the
  // head of the queue is expected to start.
  private backfill(now: number, events: EventQueue): void {
    const headStartAt = this.estimateHeadStart(now);
    for (let index = 1; index < this.queue.length;) {
      const endsBeforeHead = now + (this.queue[index]?.declaredMs ?? 0) <= headStartAt;
      if (!endsBeforeHead || !this.tryStart(index, now, events)) {
        index += 1;
      }
    }
  }

  private estimateHeadStart(now: number): number {
    const [head] = this.queue;
    const expectedFree = this.free.clone();
    const runningByEnd = this.running
      .map((entry) => ({ entry, end: Math.max(now, entry.startedAt + entry.job.declaredMs) }))
      .sort((left, right) => left.end - right.end);
    for (const { entry, end } of runningByEnd) {
      expectedFree.release(entry.shares, entry.job.shape.acceleratorsPerWorker);
      if (head !== undefined && candidatePlacements(expectedFree, head.shape, 1).length > 0) {
        return end;
      }
    }
    return Infinity;
  }

  private tryStart(index: number, now: number, events: EventQueue): boolean {
    const job = this.queue[index];
    const shares = job && this.place(job);
    if (job === undefined || shares === undefined) {
      return false;
    }
    this.free.allocate(shares, job.shape.acceleratorsPerWorker);
    this.queue.splice(index, 1);
    const finishAt = now + job.runMs;
    this.running.push({ job, shares, startedAt: now, finishAt });
    events.push(finishAt);
    return true;
  }

  private place(job: WorkloadJob): WorkerShare[] | undefined {
    return this.policy === BaselinePolicy.backfill
      ? candidatePlacements(this.free, job.shape, 1)[0]
      : this.placeFirstFit(job);
  }

  private placeFirstFit(job: WorkloadJob): WorkerShare[] | undefined {
    const allWorkers = this.free.workers.map((_, index) => index);
    const workerGroups = job.shape.adjacency === 'rack' ? this.free.racks : [allWorkers];
    const acceleratorsPerTask = job.shape.acceleratorsPerWorker;
    const group = workerGroups.find(
      (workers) => this.free.taskCapacity(workers, acceleratorsPerTask) >= job.shape.workers,
    );
    if (group === undefined) {
      return undefined;
    }
    const shares: WorkerShare[] = [];
    let remainingTasks = job.shape.workers;
    for (const worker of group) {
      const tasks = Math.min(
        remainingTasks,
        Math.floor(this.free.freeOf(worker) / acceleratorsPerTask),
      );
      if (tasks > 0) {
        shares.push({ worker, tasks });
        remainingTasks -= tasks;
      }
    }
    return shares;
  }
}
