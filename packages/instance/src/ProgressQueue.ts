import type { Clock, Event } from '@apricothoist/common';
import { Emitter } from '@apricothoist/common';
import type { JobRun, StartCommand } from '@apricothoist/dispatch';

import type { JobStates, ProgressWriter } from './ProgressWriter.js';

/** Writes that may be open at the same time, each with its own jobs. */
const maxOpenWrites = 6;
/**
 * Shortest age in milliseconds from which an open write counts as late, so that another is sent
 * beside it. Until then further changes are gathered for the next one: writes that share a slow link
 * delay each other and the renewals of the lease.
 */
const minLateWriteMs = 40;
/** Age from which a write counts as late, as a multiple of the usual time of a write. */
const lateWriteFactor = 2;

/** Number of the last end of an incarnation of a runner that the dispatcher has processed. */
export interface ProcessedEnd {
  readonly id: string;
  readonly processStartedAt: number;
  readonly end: number;
}

/** What a scheduling step has changed. */
export interface StepChanges {
  readonly jobs: readonly JobRun[];
  readonly starts: readonly StartCommand[];
  readonly ends: readonly ProcessedEnd[];
}

/** What may be done now that the progress of some jobs is stored. */
export interface StoredChanges {
  readonly states: JobStates;
  readonly starts: readonly StartCommand[];
  readonly ends: readonly ProcessedEnd[];
}

interface WaitingStart {
  readonly command: StartCommand;
  readonly requestedAt: number;
}

interface WaitingStep {
  readonly number: number;
  /** Jobs whose record has to be stored before its ends may be acknowledged. */
  readonly jobs: Set<JobRun>;
  readonly ends: readonly ProcessedEnd[];
}

/**
 * Queue of jobs whose progress is to be stored. A start waits for the record of its own job only;
 * a job is part of one write at a time. Ends are acknowledged in the order of the steps, since the
 * number of an end covers all earlier ones of its runner.
 *
 * Load pattern: answers of the store are lost or late. One write that has to be repeated must not
 * hold up the starts of all other jobs.
 */
export class ProgressQueue implements Disposable {
  private readonly stored = new Emitter<StoredChanges>();

  public readonly onStored: Event<StoredChanges> = this.stored.event;

  private readonly refused = new Emitter<void>();

  /** Fires when a write failed because another instance is the holder. */
  public readonly onRefused: Event<void> = this.refused.event;

  /** Jobs with progress that no write contains yet. */
  private readonly unwritten = new Set<JobRun>();

  private readonly beingWritten = new Set<JobRun>();

  /** Times at which the open writes were sent. */
  private readonly openWrites = new Set<{ readonly sentAt: number }>();

  /** Starts that no write contains yet. */
  private readonly startsByJob = new Map<string, WaitingStart[]>();

  /** Starts whose record is not stored yet, those of open writes included. */
  private readonly unsentStarts = new Set<WaitingStart>();

  /** Last queued end of each runner. */
  private readonly queuedEnds = new Map<string, ProcessedEnd>();

  /** Steps with progress that is not stored or ends that are not acknowledged, oldest first. */
  private steps: WaitingStep[] = [];

  private stepNumber = 0;

  private longestStartWaitMs = 0;

  public constructor(
    private readonly writer: Pick<ProgressWriter, 'batchSize' | 'usualTimeMs' | 'write'>,
    private readonly clock: Clock,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** Jobs with progress that is not stored yet. */
  public get unstoredJobs(): number {
    return new Set([...this.unwritten, ...this.beingWritten]).size;
  }

  /** Start commands that wait for the record of their job. */
  public get waitingStarts(): readonly StartCommand[] {
    return [...this.unsentStarts].map(({ command }) => command);
  }

  /** Longest time in milliseconds that a start has waited for the store in this term. */
  public get maxStartWaitMs(): number {
    return Math.round(this.longestStartWaitMs);
  }

  public add({ jobs, starts, ends }: StepChanges): void {
    this.stepNumber += 1;
    jobs.forEach((job) => this.unwritten.add(job));
    const requestedAt = this.clock.monotonic();
    starts.forEach((command) => {
      const start = { command, requestedAt };
      this.unsentStarts.add(start);
      this.startsByJob.set(command.jobId, [...(this.startsByJob.get(command.jobId) ?? []), start]);
    });
    const newEnds = ends.filter((end) => this.queueEnd(end));
    if (jobs.length > 0 || newEnds.length > 0) {
      this.steps.push({ number: this.stepNumber, jobs: new Set(jobs), ends: newEnds });
    }
    const storedEnds = this.takeStoredEnds();
    if (storedEnds.length > 0) {
      this.stored.fire({ states: [], starts: [], ends: storedEnds });
    }
    this.send();
  }

  // Returns false if the end is queued already: it is reported again until it is acknowledged.
  private queueEnd(processed: ProcessedEnd): boolean {
    const { id, processStartedAt, end } = processed;
    const queued = this.queuedEnds.get(id);
    if (queued?.processStartedAt === processStartedAt && queued.end === end) {
      return false;
    }
    this.queuedEnds.set(id, processed);
    return true;
  }

  private send(): void {
    while (this.openWrites.size < maxOpenWrites) {
      const ready = [...this.unwritten].filter((job) => !this.beingWritten.has(job));
      if (ready.length === 0 || this.isGathering) {
        return;
      }
      this.write(ready.slice(0, this.writer.batchSize)).catch(this.onError);
    }
  }

  private get isGathering(): boolean {
    const now = this.clock.monotonic();
    const lateWriteMs = Math.max(minLateWriteMs, this.writer.usualTimeMs * lateWriteFactor);
    return [...this.openWrites].some(({ sentAt }) => now - sentAt < lateWriteMs);
  }

  private async write(jobs: readonly JobRun[]): Promise<void> {
    const openWrite = { sentAt: this.clock.monotonic() };
    this.openWrites.add(openWrite);
    const { stepNumber } = this;
    // Those that are added from now on wait for the next write of their job.
    const starts = jobs.flatMap(({ id }) => this.startsByJob.get(id) ?? []);
    jobs.forEach((job) => {
      this.unwritten.delete(job);
      this.beingWritten.add(job);
      this.startsByJob.delete(job.id);
    });
    const states = await this.writer.write(jobs);
    this.openWrites.delete(openWrite);
    jobs.forEach((job) => this.beingWritten.delete(job));
    if (states === undefined) {
      this.refused.fire();
      return;
    }
    this.steps
      .filter(({ number }) => number <= stepNumber)
      .forEach((step) => jobs.forEach((job) => step.jobs.delete(job)));
    const now = this.clock.monotonic();
    starts.forEach((start) => {
      this.unsentStarts.delete(start);
      this.longestStartWaitMs = Math.max(this.longestStartWaitMs, now - start.requestedAt);
    });
    const commands = starts.map(({ command }) => command);
    this.stored.fire({ states, starts: commands, ends: this.takeStoredEnds() });
    this.send();
  }

  private takeStoredEnds(): readonly ProcessedEnd[] {
    const firstOpen = this.steps.findIndex(({ jobs }) => jobs.size > 0);
    const count = firstOpen < 0 ? this.steps.length : firstOpen;
    return this.steps.splice(0, count).flatMap(({ ends }) => ends);
  }

  public [Symbol.dispose](): void {
    this.stored[Symbol.dispose]();
    this.refused[Symbol.dispose]();
  }
}
