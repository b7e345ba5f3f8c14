import type {
  EndedTask,
  DispatchBounds,
  ListedRunner,
  Commands,
  Queue,
  RunEnd,
  RunningTask,
  StoredProgress,
  Step,
} from '@apricothoist/dispatch';
import { Dispatcher, StartOutcome } from '@apricothoist/dispatch';

import { createSpecification, plainStep, replayBounds, replayQueues } from './replaySettings.js';

/** Queue and id of the job of every fixture. */
export const fixtureQueue = replayQueues.urgent as Queue;
export const fixtureJobId = '00000000000000aa';
/** A gang that needs all accelerators of both runners of a fixture. */
export const fixtureStep: Step = {
  ...plainStep,
  count: 2,
  size: { cpu: 1_000, memoryMb: 1_000, accelerators: 8 },
  declaredMs: 2_000,
  isGang: true,
  savesProgress: true,
};

/** Creates a runner's entry of the runner list. */
export function listedRunner(runnerId: string, change: Partial<ListedRunner> = {}): ListedRunner {
  return {
    id: runnerId,
    address: runnerId,
    service: 'service',
    dataCentre: 'a',
    rack: 'rack',
    labels: ['kind', 'rack'],
    capacity: { cpu: 32_000, memoryMb: 131_072, accelerators: 8 },
    isDraining: false,
    processStartedAt: 1,
    ...change,
  };
}

/** A dispatcher with two runners of eight accelerators each and one gang that needs both. */
export class DispatchFixture {
  public readonly dispatcher: Dispatcher;

  public now = 1_000;

  public constructor(
    steps: readonly Step[] = [fixtureStep],
    stored?: Omit<StoredProgress, 'leasesExtendedUntil'>,
    runnerIds: readonly string[] = ['r1', 'r2'],
    bounds: Partial<DispatchBounds> = {},
  ) {
    this.dispatcher = new Dispatcher({ ...replayBounds, ...bounds }, { decide: () => undefined });
    this.dispatcher.configure(new Map([[fixtureQueue.name, fixtureQueue]]), new Map());
    this.dispatcher.updateRunners(
      runnerIds.map((runnerId) => listedRunner(runnerId)),
      this.now,
    );
    const specification = { ...createSpecification(fixtureJobId, steps), payload: 'payload' };
    const read = stored && { ...stored, leasesExtendedUntil: this.now };
    this.dispatcher.addJob(specification, fixtureQueue, this.now, this.now, read);
  }

  /** Delivers a report of a runner. */
  public report(
    runnerId: string,
    running: readonly RunningTask[] = [],
    ended: readonly EndedTask[] = [],
    processStartedAt = 1,
  ): void {
    const requestedAt = this.now;
    const report = { processStartedAt, requestedAt, running, ended, hasMoreEnds: false };
    this.now += 1;
    this.dispatcher.applyReport(runnerId, report, this.now);
  }

  /** Advances the time and returns the commands of one step of the dispatcher. */
  public step(elapsedMs = 10): Commands {
    this.now += elapsedMs;
    return this.dispatcher.step(this.now, this.now, this.now);
  }

  /** Reports `outcome` for every start command. */
  public recordStartOutcomes(commands: Commands, outcome: StartOutcome): void {
    commands.starts.forEach(({ runnerId, task, run }) => {
      this.dispatcher.recordLeaseExtension(runnerId, this.now);
      this.dispatcher.recordStartOutcomes(runnerId, task, run, [outcome], this.now);
    });
  }

  /** Starts both tasks of the gang and returns the commands that did so. */
  public start(): Commands {
    this.report('r1');
    this.report('r2');
    const commands = this.step();
    this.recordStartOutcomes(commands, StartOutcome.started);
    return commands;
  }

  public get state(): string {
    return this.dispatcher.state.jobs.get(fixtureJobId)?.state ?? 'unknown';
  }
}

/** Creates the report entry of a running task of the gang. */
export function runningTask(index: number, run = 1): RunningTask {
  return { task: `${fixtureJobId}.0.0.${index}`, run, saved: '', percent: 10 };
}

/** Creates the report entry of an ended task of the gang. */
export function endedTask(number: number, index: number, end: RunEnd, saved = ''): EndedTask {
  return { number, task: `${fixtureJobId}.0.0.${index}`, run: 1, end, saved };
}
