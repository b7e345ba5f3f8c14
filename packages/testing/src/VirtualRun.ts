import { RunEnd } from '@apricothoist/dispatch';

import type { TaskBehaviour } from './TaskBehaviour.js';
import type { VirtualRunRecord } from './VirtualRunRecord.js';

const completePercent = 100;

/** A run in progress on a virtual runner, with the end that it is heading for. */
export class VirtualRun {
  /** Time at which the work begins: all members of its gang are present. */
  public workStartsAt = Infinity;

  public endsAt = Infinity;

  public end: RunEnd = RunEnd.done;

  /** Time at which the run crashes its runner; Infinity if it does not. */
  public crashesAt: number;

  /** Time from which no more work is done; Infinity unless the run is being stopped. */
  private stoppedAt = Infinity;

  public constructor(
    public readonly record: VirtualRunRecord,
    /** Step, occurrence and run number: equal for the members of a gang. */
    public readonly gangKey: string,
    public readonly behaviour: TaskBehaviour,
    /** Milliseconds of work that the saved progress contains. */
    private readonly savedMs: number,
  ) {
    this.crashesAt = record.startedAt + (behaviour.crashesAfterMs ?? Infinity);
  }

  public begin(now: number): void {
    const { durationMs, failsAfterMs, crashesAfterWorkMs = Infinity } = this.behaviour;
    this.workStartsAt = now;
    this.crashesAt = Math.min(this.crashesAt, now + crashesAfterWorkMs);
    this.end = failsAfterMs === undefined ? RunEnd.done : RunEnd.failed;
    this.endsAt = now + (failsAfterMs ?? Math.max(1, durationMs - this.savedMs));
  }

  public headFor(end: RunEnd, at: number): void {
    this.end = end;
    this.endsAt = at;
  }

  public get isStopping(): boolean {
    return this.stoppedAt !== Infinity;
  }

  public stop(now: number): void {
    this.stoppedAt = now;
    const { crashesAfterMs = Infinity } = this.behaviour;
    this.crashesAt = this.record.startedAt + crashesAfterMs;
    this.headFor(RunEnd.stopped, now + this.behaviour.stopMs);
  }

  public percentAt(now: number): number {
    return Math.floor((completePercent * this.workedMs(now)) / this.behaviour.durationMs);
  }

  /** Saved progress at `now`; empty if the task does not save any. */
  public savedAt(now: number): string {
    const workedMs = this.workedMs(now);
    return this.behaviour.savesProgress && workedMs > 0 ? String(workedMs) : '';
  }

  private workedMs(now: number): number {
    const worked = this.savedMs + Math.max(0, Math.min(now, this.stoppedAt) - this.workStartsAt);
    return Math.min(this.behaviour.durationMs, worked);
  }
}
