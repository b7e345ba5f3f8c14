import type { DecisionFields } from '@apricothoist/dispatch';
import { RunEnd } from '@apricothoist/dispatch';

import type { ReplayedRun } from './ReplayRunner.js';

/** Decision to end a run of a task group without a result. */
export interface RunAbort {
  readonly at: number;
  readonly reason: string;
}

/** Reason that the dispatcher logs for a run that was preempted. */
export const preemptionReason = 'reclaimed';
/** Milliseconds per second, and thousandths of a core per core. */
const milliPerUnit = 1_000;
const coresPerAccelerator = 8;

/** The runs of a replay that have ended, and why. */
export class ReplayRunLog {
  public readonly runs: (ReplayedRun & { readonly abort: RunAbort | undefined })[] = [];

  /** Core-seconds of work lost in runs that were stopped without saving their progress. */
  public wastedCoreSeconds = 0;

  /** By `job.group#run`. */
  private readonly aborts = new Map<string, RunAbort>();

  public recordAbort({ job, group, run, reason }: DecisionFields, at: number): void {
    this.aborts.set(`${job}.${group}#${run}`, { reason: String(reason), at });
  }

  public recordEnd(run: ReplayedRun): void {
    const [, occurrence, stepIndex, taskIndex] = run.task.split('.');
    const groupKey = `${occurrence}.${stepIndex}.${run.isOfGang ? 0 : taskIndex}`;
    const abort = this.aborts.get(`${run.jobId}.${groupKey}#${run.run}`);
    this.runs.push({ ...run, abort });
    if (run.end === RunEnd.stopped) {
      const cores = run.size.cpu / milliPerUnit + run.size.accelerators * coresPerAccelerator;
      this.wastedCoreSeconds += (cores * run.lostMs) / milliPerUnit;
    }
  }
}
