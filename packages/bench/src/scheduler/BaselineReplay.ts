import type { Configuration } from '@apricothoist/config';
import type { WorkerShare, WorkerView } from '@apricothoist/scheduler';
import { candidatePlacements, Capacity, guaranteesOf } from '@apricothoist/scheduler';

import { EventQueue } from '../EventQueue.js';
import { FragmentationMeter } from './FragmentationMeter.js';
import type { JobOutcome, ReplayResult } from './ReplayResult.js';
import type { ListedJob } from './Workload.js';

export const BaselinePolicy = { fifo: 'FIFO first-fit', backfill: 'best-fit backfill' } as const;
export type BaselinePolicy = (typeof BaselinePolicy)[keyof typeof BaselinePolicy];

interface RunningJob {
  readonly job: ListedJob;
  readonly shares: readonly WorkerShare[];
  readonly startedAt: number;
  readonly finishAt: number;
}

/** Runs a job list under a plain policy: no guarantees, no classes, nothing is ever stopped. */
export class BaselineReplay {
  private readonly free: Capacity;

  private readonly queue: ListedJob[] = [];

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

  public run(jobs: readonly ListedJob[]): ReplayResult {
    const events = new EventQueue();
    jobs.forEach((job) => events.push(job.submitAt));
    let next = 0;
    for (let now = events.pop(); now !== undefined;) {
      for (let job = jobs[next]; job !== undefined && job.submitAt <= now; job = jobs[next]) {
        this.queue.push(job);
        next += 1;
      }
      this.finishDue(now);
      const startedAt = performance.now();
      this.decide(now, events);
      this.decisionMs += performance.now() - startedAt;
      this.decisions += 1;
      const after = events.pop();
      if (after !== undefined) {
        this.meter.add(
          this.free,
          this.queue.map((job) => job.shape),
          after - now,
        );
      }
      now = after;
    }
    return {
      policy: this.policy,
      outcomes: this.outcomes,
      unfinished: this.queue.length,
      fragmentation: this.meter.mean,
      largeFragmentation: this.meter.meanLarge,
      lostWork: 0,
      refusedGuarantees: 0,
      decisions: this.decisions,
      decisionMs: this.decisionMs,
    };
  }

  private finishDue(now: number): void {
    const done = this.running.filter((entry) => entry.finishAt <= now);
    this.running = this.running.filter((entry) => entry.finishAt > now);
    done.forEach(({ job, shares, startedAt, finishAt }) => {
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

  private decide(now: number, events: EventQueue): void {
    while (this.queue.length > 0 && this.tryStart(0, now, events)) {
      // The head of the queue has started; look at the next one.
    }
    if (this.policy === BaselinePolicy.backfill && this.queue.length > 0) {
      this.backfill(now, events);
    }
  }

  // A later job may start if, by the declared times, it ends before the head can start.
  private backfill(now: number, events: EventQueue): void {
    const headAt = this.expectedHeadStart(now);
    for (let index = 1; index < this.queue.length;) {
      const endsBefore = now + (this.queue[index]?.declaredMs ?? 0) <= headAt;
      if (!endsBefore || !this.tryStart(index, now, events)) {
        index += 1;
      }
    }
  }

  private expectedHeadStart(now: number): number {
    const [head] = this.queue;
    const trial = this.free.clone();
    const byEnd = this.running
      .map((entry) => ({ entry, end: Math.max(now, entry.startedAt + entry.job.declaredMs) }))
      .sort((left, right) => left.end - right.end);
    for (const { entry, end } of byEnd) {
      trial.release(entry.shares, entry.job.shape.acceleratorsPerWorker);
      if (head !== undefined && candidatePlacements(trial, head.shape, 1).length > 0) {
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

  private place(job: ListedJob): WorkerShare[] | undefined {
    return this.policy === BaselinePolicy.backfill
      ? candidatePlacements(this.free, job.shape, 1)[0]
      : this.placeFirstFit(job);
  }

  private placeFirstFit(job: ListedJob): WorkerShare[] | undefined {
    const all = this.free.workers.map((_, index) => index);
    const groups = job.shape.adjacency === 'rack' ? this.free.racks : [all];
    const per = job.shape.acceleratorsPerWorker;
    const group = groups.find(
      (workers) => this.free.taskCapacity(workers, per) >= job.shape.workers,
    );
    if (group === undefined) {
      return undefined;
    }
    const shares: WorkerShare[] = [];
    let missing = job.shape.workers;
    for (const worker of group) {
      const tasks = Math.min(missing, Math.floor(this.free.freeOf(worker) / per));
      if (tasks > 0) {
        shares.push({ worker, tasks });
        missing -= tasks;
      }
    }
    return shares;
  }
}
