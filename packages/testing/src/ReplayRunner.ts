import type {
  EndedTask,
  ListedRunner,
  Resources,
  RunnerReport,
  RunningTask,
  StartCommand,
  Step,
} from '@apricothoist/dispatch';
import { RunEnd } from '@apricothoist/dispatch';

/** A run of a task on a simulated runner. */
export interface ReplayTask {
  readonly command: StartCommand;
  readonly step: Step;
  readonly startedAt: number;
  /** Milliseconds of work at speed 1 that an earlier run had saved. */
  readonly resumedMs: number;
  /** Factor by which its progress takes longer than at speed 1; that of the slowest of its gang. */
  slowdown: number;
  /** Time at which its own work is done; a gang ends only when its last task is done. */
  workDoneAt: number;
  endsAt: number;
  stopAt: number;
}

/** A run that has ended. Times in virtual milliseconds. */
export interface ReplayedRun {
  readonly jobId: string;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly size: Resources;
  readonly isOfGang: boolean;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Milliseconds of the run whose work was lost. */
  readonly lostMs: number;
  /** Milliseconds that it waited for slower tasks of its gang. */
  readonly idleMs: number;
}

function keptWorkMs(task: ReplayTask, now: number, saveIntervalMs: number | undefined): number {
  if (!task.step.savesProgress) {
    return 0;
  }
  const doneMs = task.resumedMs + (Math.min(now, task.workDoneAt) - task.startedAt) / task.slowdown;
  const savedMs =
    saveIntervalMs === undefined ? doneMs : Math.floor(doneMs / saveIntervalMs) * saveIntervalMs;
  return Math.max(task.resumedMs, savedMs);
}

/** A simulated runner that obeys every command. */
export class ReplayRunner {
  /** Runs by `task#run`. */
  public readonly tasks = new Map<string, ReplayTask>();

  private unreportedEnds: EndedTask[] = [];

  private endCount = 0;

  private nextReportAt = 0;

  public constructor(
    public readonly entry: ListedRunner,
    /** Factor by which tasks take longer here than at speed 1. */
    public readonly slowdown: number,
    private readonly timing: {
      readonly saveIntervalMs: number | undefined;
      readonly reportIntervalMs: number;
    },
    private readonly onEnd: (run: ReplayedRun) => void,
  ) {}

  public hasRoomFor(size: Resources): boolean {
    const { capacity } = this.entry;
    const sum = { ...size };
    this.tasks.forEach(({ step }) => {
      sum.cpu += step.size.cpu;
      sum.memoryMb += step.size.memoryMb;
      sum.accelerators += step.size.accelerators;
    });
    return (
      sum.cpu <= capacity.cpu &&
      sum.memoryMb <= capacity.memoryMb &&
      sum.accelerators <= capacity.accelerators
    );
  }

  /** @param fullMs duration of the whole task at speed 1 */
  public start(command: StartCommand, step: Step, fullMs: number, now: number): void {
    const resumedMs = Number(command.saved || 0);
    const workDoneAt = now + Math.max(0, fullMs - resumedMs) * this.slowdown;
    this.tasks.set(`${command.task}#${command.run}`, {
      command,
      step,
      startedAt: now,
      resumedMs,
      slowdown: this.slowdown,
      workDoneAt,
      endsAt: workDoneAt,
      stopAt: Infinity,
    });
  }

  /** Whether the interval between reports is over or a run ends. */
  public isReportDue(now: number): boolean {
    return (
      now >= this.nextReportAt ||
      [...this.tasks.values()].some(({ stopAt, endsAt }) => stopAt <= now || endsAt <= now)
    );
  }

  /** Ends the runs that are due and reports on all. */
  public report(now: number): RunnerReport {
    this.nextReportAt = now + this.timing.reportIntervalMs;
    this.tasks.forEach((task, key) => {
      if (task.stopAt <= now) {
        this.endTask(key, task, RunEnd.stopped, now);
      } else if (task.endsAt <= now) {
        this.endTask(key, task, RunEnd.done, now);
      }
    });
    const running = [...this.tasks.values()].map((task): RunningTask => {
      const { command, startedAt, workDoneAt } = task;
      const { saveIntervalMs } = this.timing;
      const savedMs = saveIntervalMs === undefined ? 0 : keptWorkMs(task, now, saveIntervalMs);
      return {
        task: command.task,
        run: command.run,
        saved: savedMs === 0 ? '' : String(savedMs),
        percent: Math.min(100, (100 * (now - startedAt)) / (workDoneAt - startedAt)),
      };
    });
    const ended = this.unreportedEnds;
    this.unreportedEnds = [];
    return { processStartedAt: 1, requestedAt: now - 1, running, ended, hasMoreEnds: false };
  }

  private endTask(key: string, task: ReplayTask, end: RunEnd, now: number): void {
    this.tasks.delete(key);
    const { command, step, startedAt, resumedMs, slowdown, workDoneAt } = task;
    const isStopped = end === RunEnd.stopped;
    const keptMs = isStopped ? keptWorkMs(task, now, this.timing.saveIntervalMs) : 0;
    const saved = isStopped && keptMs > 0 ? String(keptMs) : '';
    const { jobId, task: name, run } = command;
    this.endCount += 1;
    this.unreportedEnds.push({ number: this.endCount, task: name, run, end, saved });
    const usefulMs = Math.max(0, keptMs - resumedMs) * slowdown;
    this.onEnd({
      jobId,
      task: name,
      run,
      end,
      size: step.size,
      isOfGang: step.isGang,
      startedAt,
      endedAt: now,
      lostMs: isStopped ? Math.max(0, now - startedAt - usefulMs) : 0,
      idleMs: isStopped ? 0 : Math.max(0, now - workDoneAt),
    });
  }
}
