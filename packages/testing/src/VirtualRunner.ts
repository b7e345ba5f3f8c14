import type {
  EndedTask,
  ListedRunner,
  Resources,
  RunningTask,
  StartCommand,
  StopCommand,
} from '@apricothoist/dispatch';
import { RunEnd, StartOutcome } from '@apricothoist/dispatch';

import type { TaskBehaviour } from './TaskBehaviour.js';
import { VirtualRun } from './VirtualRun.js';
import type { VirtualRunRecord } from './VirtualRunRecord.js';

export interface VirtualRunnerOptions {
  readonly entry: ListedRunner;
  /** Virtual milliseconds per millisecond of the runner's clock, at most 1.02. */
  readonly clockSlowness: number;
  readonly maxLeaseMs: number;
  /** Whether the runner refuses starts beyond its capacity. */
  readonly guardsCapacity: boolean;
  /** Whether a start may use its permit at the runner process; without it, none needs one. */
  readonly admitsPermit?: (command: StartCommand, processStartedAt: number, now: number) => boolean;
  readonly behaviourOf: (command: StartCommand) => TaskBehaviour;
}

/** Receives what concerns the runs of several runners. */
export interface VirtualRunnerObserver {
  recordStart(runner: VirtualRunner, run: VirtualRun, now: number): void;
  recordStop(run: VirtualRun): void;
  recordEnd(run: VirtualRun, now: number): void;
  /** A run crashes the runner, whose runs have not ended yet. */
  recordCrash(runner: VirtualRunner, now: number): void;
  /** The capacity of a runner is about to change. */
  recordResize(runner: VirtualRunner): void;
}

/** Response of a virtual runner to a report call. */
export interface VirtualReport {
  readonly processStartedAt: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
  /** Whether further ends are listed only after these have been acknowledged. */
  readonly hasMoreEnds: boolean;
}

/** Largest number of ends in one report. */
const maxListedEnds = 500;

/**
 * One runner in virtual time, with the platform's contract of commands, leases and incarnations.
 * It does no I/O and reads no clock; the owner calls it in the order of time.
 *
 * Where the contract leaves a choice:
 * - A start has arrived too late if afterwards the lease of the runner, not only the deadline of
 *   the call, has passed. This is laxer: a late start runs if the lease has been extended since.
 * - A start of a lower run beside a higher one that is still running is accepted (laxer).
 * - Acknowledgements that are ahead of the ends listed so far do not apply to later ends (laxer).
 * - A run that is being stopped does no more work; a gang with such a member does not get done.
 * - Progress is saved at a stop only, and restoring it takes no time.
 * - A run that is being stopped may still crash its runner, but not by work (stricter).
 * - An unhealthy runner refuses starts only; the client refuses other calls (`CallFate`).
 *
 * Not modelled: draining, several copies of a task, pacing, another runner at the same address; permits
 * only where `admitsPermit` is given.
 */
export class VirtualRunner {
  /** Identifies the incarnation; zero while the process is down. */
  private processStart: number;

  private clockOrigin: number;

  private highestToken = 0;

  /** Lease of all runs, on the runner's clock. */
  private leaseUntil = 0;

  /** Whether the end of the current lease has not been processed yet. */
  private isLeaseOpen = false;

  private readonly runs = new Map<string, VirtualRun>();

  private ends: { listed: EndedTask; record: VirtualRunRecord }[] = [];

  private endCount = 0;

  /** Highest run that was stopped or ended here, by task. */
  private readonly closedRuns = new Map<string, number>();

  private currentCapacity: Resources;

  public isUnhealthy = false;

  public constructor(
    private readonly options: VirtualRunnerOptions,
    private readonly observer: VirtualRunnerObserver,
    bornAt: number,
  ) {
    this.processStart = options.entry.processStartedAt;
    this.clockOrigin = bornAt;
    this.currentCapacity = options.entry.capacity;
  }

  public get id(): string {
    return this.options.entry.id;
  }

  public get isUp(): boolean {
    return this.processStart !== 0;
  }

  public get processStartedAt(): number {
    return this.processStart;
  }

  /** The entry that the runner writes to the registry. */
  public get entry(): ListedRunner {
    const { processStart, currentCapacity } = this;
    return { ...this.options.entry, processStartedAt: processStart, capacity: currentCapacity };
  }

  public get capacity(): Resources {
    return this.currentCapacity;
  }

  /** Changes the capacity; what runs beyond it goes on. */
  public resize(capacity: Resources): void {
    this.observer.recordResize(this);
    this.currentCapacity = capacity;
  }

  public get activeRuns(): readonly VirtualRun[] {
    return [...this.runs.values()];
  }

  /** Reading of the runner's own clock, in whole milliseconds. */
  public clock(now: number): number {
    return Math.floor((now - this.clockOrigin) / this.options.clockSlowness);
  }

  /** Time of the next end of a run or of the lease. */
  public get nextEventAt(): number {
    const ends = this.activeRuns.map(({ endsAt, crashesAt }) => Math.min(endsAt, crashesAt));
    return Math.min(this.leaseEndsAt, ...ends);
  }

  private get leaseEndsAt(): number {
    return this.isLeaseOpen
      ? this.clockOrigin + Math.ceil(this.leaseUntil * this.options.clockSlowness)
      : Infinity;
  }

  /** Processes what happens at `now`, which is not after `nextEventAt`. */
  public processEvents(now: number): void {
    if (this.leaseEndsAt <= now) {
      this.isLeaseOpen = false;
      this.ends.forEach(({ record }) => {
        record.hasLapsed = true;
      });
      this.activeRuns.forEach((run) => this.endRun(run, RunEnd.lapsed, now));
    }
    const crashing = this.activeRuns.filter(({ crashesAt }) => crashesAt <= now);
    if (crashing.length > 0) {
      crashing.forEach(({ record }) => {
        record.hasCrashedRunner = true;
      });
      this.observer.recordCrash(this, now);
      this.crash(now);
    }
    this.activeRuns
      .filter((run) => run.endsAt <= now && this.runs.has(keyOf(run)))
      .forEach((run) => this.endRun(run, run.end, now));
  }

  /** @param deadline lease deadline on the runner's clock */
  public start(command: StartCommand, token: number, deadline: number, now: number): StartOutcome {
    if (this.isUnhealthy) {
      return StartOutcome.unhealthy;
    }
    if (!this.admitToken(token)) {
      return StartOutcome.fenced;
    }
    this.extendLease(deadline, now);
    const { task, run } = command;
    if (this.runs.has(`${task}#${run}`)) {
      return StartOutcome.started;
    }
    if (run <= (this.closedRuns.get(task) ?? 0)) {
      return StartOutcome.outdatedRun;
    }
    if (!this.isLeaseOpen) {
      return StartOutcome.leaseExpired;
    }
    if (this.options.admitsPermit?.(command, this.processStart, now) === false) {
      return StartOutcome.permitRefused;
    }
    const behaviour = this.options.behaviourOf(command);
    if (this.options.guardsCapacity && !this.hasRoomFor(behaviour.size)) {
      return StartOutcome.noCapacity;
    }
    this.addRun(command, behaviour, now);
    return StartOutcome.started;
  }

  /** Returns false if the token is too low. */
  public stop({ task, run }: StopCommand, token: number, now: number): boolean {
    if (!this.admitToken(token)) {
      return false;
    }
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    const present = this.runs.get(`${task}#${run}`);
    if (present !== undefined && !present.isStopping) {
      present.stop(now);
      this.observer.recordStop(present);
    }
    return true;
  }

  /**
   * Acknowledges ends and extends the lease; returns false if the token is too low.
   *
   * @param deadline lease deadline on the runner's clock; undefined to leave the lease
   */
  public acknowledge(
    token: number,
    acknowledgedEnd: number,
    deadline: number | undefined,
    now: number,
  ): boolean {
    if (!this.admitToken(token)) {
      return false;
    }
    this.ends = this.ends.filter(({ listed, record }) => {
      const isAcknowledged = listed.number <= acknowledgedEnd;
      if (isAcknowledged) {
        record.acknowledgedAt = now;
      }
      return !isAcknowledged;
    });
    if (deadline !== undefined) {
      this.extendLease(deadline, now);
    }
    return true;
  }

  public get hasEnds(): boolean {
    return this.ends.length > 0;
  }

  public report(now: number): VirtualReport {
    return {
      processStartedAt: this.processStart,
      running: this.activeRuns.map((run) => ({
        task: run.record.task,
        run: run.record.run,
        saved: '',
        percent: run.percentAt(now),
      })),
      ended: this.ends.slice(0, maxListedEnds).map(({ listed }) => listed),
      hasMoreEnds: this.ends.length > maxListedEnds,
    };
  }

  /** Ends the process, with all runs and without any report of them. */
  public crash(now: number): void {
    const runs = this.activeRuns;
    this.runs.clear();
    this.processStart = 0;
    this.isLeaseOpen = false;
    runs.forEach((run) => {
      run.record.endedAt = now;
      this.observer.recordEnd(run, now);
    });
  }

  /** Starts a new process under the same id, which knows nothing of the former one. */
  public restart(processStartedAt: number, now: number): void {
    this.processStart = processStartedAt;
    this.clockOrigin = now;
    this.highestToken = 0;
    this.leaseUntil = 0;
    this.ends = [];
    this.endCount = 0;
    this.closedRuns.clear();
  }

  private admitToken(token: number): boolean {
    if (token < this.highestToken) {
      return false;
    }
    this.highestToken = token;
    return true;
  }

  private extendLease(deadline: number, now: number): void {
    const clock = this.clock(now);
    const until = Math.min(deadline, clock + this.options.maxLeaseMs);
    this.leaseUntil = Math.max(this.leaseUntil, until);
    this.isLeaseOpen = this.leaseUntil > clock;
  }

  private hasRoomFor(size: Resources): boolean {
    const sizes = [...this.activeRuns.map(({ behaviour }) => behaviour.size), size];
    const fits = (kind: keyof Resources): boolean =>
      sizes.reduce((sum, each) => sum + each[kind], 0) <= this.capacity[kind];
    return fits('cpu') && fits('memoryMb') && fits('accelerators');
  }

  private addRun({ task, run, saved }: StartCommand, behaviour: TaskBehaviour, now: number): void {
    const record: VirtualRunRecord = {
      task,
      run,
      runnerId: this.id,
      processStartedAt: this.processStart,
      startedAt: now,
      endedAt: Infinity,
      hasCrashedRunner: false,
      end: undefined,
      acknowledgedAt: Infinity,
      hasLapsed: false,
    };
    const gangKey = `${task.slice(0, task.lastIndexOf('.'))}#${run}`;
    const added = new VirtualRun(record, gangKey, behaviour, Number(saved));
    this.runs.set(keyOf(added), added);
    this.observer.recordStart(this, added, now);
  }

  /** Ends a run; does nothing if it is not here. */
  public endRun(run: VirtualRun, end: RunEnd, now: number): void {
    if (!this.runs.delete(keyOf(run))) {
      return;
    }
    const { record } = run;
    const { task, run: number } = record;
    this.closedRuns.set(task, Math.max(number, this.closedRuns.get(task) ?? 0));
    record.endedAt = now;
    record.end = end;
    this.endCount += 1;
    const saved = end === RunEnd.stopped ? run.savedAt(now) : '';
    const listed = { number: this.endCount, task, run: number, end, saved };
    this.ends.push({ listed, record });
    this.observer.recordEnd(run, now);
  }
}

function keyOf({ record }: VirtualRun): string {
  return `${record.task}#${record.run}`;
}
