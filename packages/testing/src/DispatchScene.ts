import type {
  EndedTask,
  ListedRunner,
  Commands,
  ProgressRecord,
  Queue,
  RunEnd,
  RunningTask,
  StartOutcome,
  Step,
} from '@apricothoist/dispatch';
import { Dispatcher, StartOutcome as Outcome } from '@apricothoist/dispatch';

import { createSpecification, plainStep, replayBounds, replayQueues } from './ReplayWorld.js';

/** Queue and id of the job of every scene. */
export const sceneQueue = replayQueues.urgent as Queue;
export const sceneJob = '00000000000000aa';
/** A gang that needs both runners of a scene whole. */
export const sceneStep: Step = {
  ...plainStep,
  count: 2,
  size: { cpu: 1_000, memoryMb: 1_000, accelerators: 8 },
  declaredMs: 2_000,
  isGang: true,
  savesProgress: true,
};

/** A runner's entry. */
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

/** A dispatcher with two runners of eight accelerators and one gang that needs both. */
export class DispatchScene {
  public readonly dispatcher = new Dispatcher(replayBounds, { decide: () => undefined });

  public now = 1_000;

  public constructor(
    steps: readonly Step[] = [sceneStep],
    stored?: { progress: ProgressRecord; version: number },
    runnerIds: readonly string[] = ['r1', 'r2'],
  ) {
    this.dispatcher.configure(new Map([[sceneQueue.name, sceneQueue]]), new Map());
    this.dispatcher.updateRunners(
      runnerIds.map((runnerId) => listedRunner(runnerId)),
      this.now,
    );
    const specification = { ...createSpecification(sceneJob, steps), payload: 'payload' };
    this.dispatcher.addJob(specification, sceneQueue, this.now, this.now, stored);
  }

  public report(
    runnerId: string,
    running: readonly RunningTask[] = [],
    ended: readonly EndedTask[] = [],
    processStartedAt = 1,
  ): void {
    const report = { processStartedAt, requestedAt: this.now, running, ended };
    this.now += 1;
    this.dispatcher.applyReport(runnerId, report, this.now);
  }

  public step(passedMs = 10): Commands {
    this.now += passedMs;
    return this.dispatcher.step(this.now, this.now);
  }

  public answer(orders: Commands, outcome: StartOutcome): void {
    orders.starts.forEach(({ runnerId, task, run }) => {
      this.dispatcher.recordLeaseExtension(runnerId, this.now);
      this.dispatcher.recordStartOutcome(runnerId, task, run, outcome, this.now);
    });
  }

  /** Both members of the gang run, the first run unless told. */
  public start(): Commands {
    this.report('r1');
    this.report('r2');
    const orders = this.step();
    this.answer(orders, Outcome.started);
    return orders;
  }

  public get state(): string {
    return this.dispatcher.state.jobs.get(sceneJob)?.state ?? 'unknown';
  }
}

/** The report of a running member of the gang. */
export function runningTask(index: number, run = 1): RunningTask {
  return { task: `${sceneJob}.0.0.${index}`, run, saved: '', percent: 10 };
}

/** The report of an ended member of the gang. */
export function endedTask(number: number, index: number, end: RunEnd, saved = ''): EndedTask {
  return { number, task: `${sceneJob}.0.0.${index}`, run: 1, end, saved };
}
