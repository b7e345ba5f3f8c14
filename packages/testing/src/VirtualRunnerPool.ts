import { RunEnd } from '@apricothoist/dispatch';

import type { VirtualRun } from './VirtualRun.js';
import type { VirtualRunner, VirtualRunnerObserver } from './VirtualRunner.js';
import type { VirtualRunRecord } from './VirtualRunRecord.js';

interface GangMember {
  readonly run: VirtualRun;
  readonly runner: VirtualRunner;
}

/** Milliseconds after which the members of a gang learn that another one has ended. */
const brokenNoticeMs = 20;

/** All virtual runners, with the gangs that span them and the record of every run. */
export class VirtualRunnerPool implements VirtualRunnerObserver {
  public readonly records: VirtualRunRecord[] = [];

  private readonly runners = new Map<string, VirtualRunner>();

  private readonly gangs = new Map<string, Set<GangMember>>();

  private readonly startListeners: ((runner: VirtualRunner, run: VirtualRun) => void)[] = [];

  private readonly resizeListeners: ((runner: VirtualRunner) => void)[] = [];

  private readonly crashListeners: ((runner: VirtualRunner, now: number) => void)[] = [];

  public constructor(private readonly gangTimeoutMs: number) {}

  public add(runner: VirtualRunner): void {
    this.runners.set(runner.id, runner);
  }

  public get(id: string): VirtualRunner {
    const runner = this.runners.get(id);
    if (runner === undefined) {
      throw new Error(`virtual runner "${id}" does not exist`);
    }
    return runner;
  }

  public get all(): readonly VirtualRunner[] {
    return [...this.runners.values()];
  }

  /** Registers a listener of runs that have just been added to their runner. */
  public onStart(listener: (runner: VirtualRunner, run: VirtualRun) => void): void {
    this.startListeners.push(listener);
  }

  /** Registers a listener of runners that are being crashed by a run. */
  public onCrash(listener: (runner: VirtualRunner, now: number) => void): void {
    this.crashListeners.push(listener);
  }

  /** Registers a listener of runners whose capacity is about to change. */
  public onResize(listener: (runner: VirtualRunner) => void): void {
    this.resizeListeners.push(listener);
  }

  public get nextEventAt(): number {
    return Math.min(...this.all.map(({ nextEventAt }) => nextEventAt));
  }

  /** Processes everything that happens up to `now`, in the order of time. */
  public advance(now: number): void {
    for (let at = this.nextEventAt; at <= now; at = this.nextEventAt) {
      this.runners.forEach((runner) => runner.processEvents(at));
    }
  }

  public recordStart(runner: VirtualRunner, run: VirtualRun, now: number): void {
    this.records.push(run.record);
    const { gangSize } = run.behaviour;
    if (gangSize === undefined) {
      run.begin(now);
    } else {
      const members = this.gangs.get(run.gangKey) ?? new Set<GangMember>();
      this.gangs.set(run.gangKey, members.add({ run, runner }));
      run.headFor(RunEnd.alone, now + this.gangTimeoutMs);
      const tasks = new Set([...members].map((member) => member.run.record.task));
      if (tasks.size === gangSize) {
        members.forEach((member) => member.run.begin(now));
      }
    }
    this.startListeners.forEach((listener) => listener(runner, run));
  }

  public recordStop(run: VirtualRun): void {
    this.otherMembers(run)
      .filter((other) => !other.run.isStopping && other.run.workStartsAt !== Infinity)
      .forEach((other) => other.run.headFor(RunEnd.broken, Infinity));
  }

  public recordEnd(run: VirtualRun, now: number): void {
    const others = this.otherMembers(run);
    const members = this.gangs.get(run.gangKey);
    members?.forEach((member) => {
      if (member.run === run) {
        members.delete(member);
      }
    });
    if (run.record.end === RunEnd.done) {
      others.forEach((other) => other.runner.endRun(other.run, RunEnd.done, now));
      return;
    }
    others
      .filter((other) => !other.run.isStopping)
      .forEach((other) => other.run.headFor(RunEnd.broken, now + brokenNoticeMs));
  }

  public recordCrash(runner: VirtualRunner, now: number): void {
    this.crashListeners.forEach((listener) => listener(runner, now));
  }

  public recordResize(runner: VirtualRunner): void {
    this.resizeListeners.forEach((listener) => listener(runner));
  }

  private otherMembers(run: VirtualRun): GangMember[] {
    return [...(this.gangs.get(run.gangKey) ?? [])].filter((member) => member.run !== run);
  }
}
