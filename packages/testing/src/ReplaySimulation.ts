import { Random } from '@apricothoist/common';
import type {
  DecisionLog,
  DispatchBounds,
  EndedTask,
  JobSpecification,
  JobState,
  ListedRunner,
  Queue,
  RunningTask,
  StartCommand,
  Step,
} from '@apricothoist/dispatch';
import { defaultPolicy, Dispatcher, RunEnd, StartOutcome } from '@apricothoist/dispatch';

/** A job that arrives during a replay. */
export interface JobArrival {
  /** Arrival time in virtual milliseconds. */
  readonly at: number;
  readonly queue: string;
  readonly account?: string;
  readonly steps: readonly Partial<Step>[];
  /** Actual duration of each task in milliseconds; the dispatcher sees only the declared one. */
  readonly durationMs: number;
}

/** Progress of a job in a replay. Times in virtual milliseconds; 0 if not reached yet. */
export interface ReplayedJob {
  readonly id: string;
  readonly queue: string;
  readonly arrivedAt: number;
  state: JobState;
  startedAt: number;
  endedAt: number;
}

/** Deviations of runner speeds and task durations from the nominal values. */
export interface ReplayVariation {
  /** Every n-th runner is slow; 0 for none. */
  readonly slowEvery: number;
  /** Factor by which tasks take longer on a slow runner. */
  readonly slowFactor: number;
  /** Factor by which tasks take longer on all other runners; 1 if absent. */
  readonly normalFactor?: number;
  /** Relative jitter of the task durations within a step. */
  readonly unevenness: number;
  /** Share of the tasks that take `stragglerFactor` times as long; 0 if absent. */
  readonly stragglerShare?: number;
  readonly stragglerFactor?: number;
}

interface SimulatedTask {
  readonly command: StartCommand;
  readonly size: Step['size'];
  /** Time at which its own work is done; a gang ends only when its last task is done. */
  workDoneAt: number;
  endsAt: number;
  stopAt: number;
  startedAt: number;
}

interface SimulatedRunner {
  /** Factor by which tasks take longer on this runner. */
  readonly slowdown: number;
  readonly entry: ListedRunner;
  readonly tasks: Map<string, SimulatedTask>;
  unreportedEnds: EndedTask[];
  endCount: number;
}

export const replayBounds: DispatchBounds = {
  stopMs: 900,
  reclaimMs: 3_400,
  maxLeaseMs: 6_000,
  farSlowdown: 3,
  evacuationMs: Infinity,
};
const tickMs = 20;
const noVariation: ReplayVariation = { slowEvery: 0, slowFactor: 1, unevenness: 0 };
/** Milliseconds per second, and thousandths of a core per core. */
const milliPerUnit = 1_000;
const coresPerAccelerator = 8;

/** A step of one small task that does not save its progress. */
export const plainStep: Step = {
  count: 1,
  size: { cpu: 1_000, memoryMb: 1_000, accelerators: 1 },
  declaredMs: 1_000,
  after: [],
  isGang: false,
  prefersOneRack: false,
  savesProgress: false,
  isLasting: false,
  usesLeftover: false,
};

/**
 * The two kinds of queues of the service requirements: urgent jobs that last seconds, and batch
 * jobs of two priorities.
 */
export const replayQueues: Readonly<Record<string, Queue>> = {
  urgent: {
    name: 'urgent',
    service: 'service',
    priority: 0,
    maxAttempts: 3,
    stretch: 1.5,
    targetMs: 250,
  },
  large: {
    name: 'large',
    service: 'service',
    priority: 1,
    maxAttempts: 3,
    stretch: 3,
    targetMs: 1_000,
  },
  batch: {
    name: 'batch',
    service: 'service',
    priority: 2,
    maxAttempts: 3,
    stretch: 3,
    targetMs: 3_000,
  },
};

/** Creates the specification of a job of the urgent queue that is due immediately. */
export function createSpecification(id: string, steps: readonly Step[]): JobSpecification {
  return {
    id,
    queue: 'urgent',
    account: 'anna',
    service: 'service',
    payload: '',
    steps,
    occurrences: 1,
    intervalMs: 0,
    firstDueAt: 0,
    acceptedAt: 0,
  };
}

/**
 * Replays a load against the dispatcher in virtual time, on simulated runners that obey every
 * command.
 */
export class ReplaySimulation {
  public readonly dispatcher: Dispatcher;

  public readonly jobs = new Map<string, ReplayedJob>();

  public readonly decisions: { kind: string; fields: Record<string, unknown> }[] = [];

  /** Core-seconds of work lost in runs that were stopped without saving their progress. */
  public wastedCoreSeconds = 0;

  /** Real milliseconds that each step of the dispatcher took. */
  public readonly stepMs: number[] = [];

  /** Starts that a runner refused for lack of free capacity. */
  public refusedStarts = 0;

  public now = 1_000;

  private readonly variation: ReplayVariation;

  private readonly random = new Random(1);

  private readonly runners = new Map<string, SimulatedRunner>();

  private readonly durations = new Map<string, number>();

  private readonly specifications = new Map<string, JobSpecification>();

  private readonly startInterceptors: ((command: StartCommand) => StartOutcome | undefined)[] = [];

  public constructor(
    racks: number,
    runnersPerRack: number,
    policy = defaultPolicy,
    variation = noVariation,
  ) {
    const decide: DecisionLog['decide'] = (kind, fields) => {
      this.decisions.push({ kind, fields: { ...fields } });
    };
    this.variation = variation;
    this.dispatcher = new Dispatcher(replayBounds, { decide }, policy);
    for (let rack = 0; rack < racks; rack += 1) {
      for (let index = 0; index < runnersPerRack; index += 1) {
        const number = rack * runnersPerRack + index;
        const isSlow = variation.slowEvery > 0 && number % variation.slowEvery === 0;
        const slowdown = isSlow ? variation.slowFactor : (variation.normalFactor ?? 1);
        this.addRunner(`rack-${rack}`, `runner-${rack}-${index}`, slowdown);
      }
    }
    const queues = new Map(Object.values(replayQueues).map((queue) => [queue.name, queue]));
    const accounts = new Map([['anna', { name: 'anna', guaranteedAccelerators: 32 }]]);
    this.dispatcher.configure(queues, accounts);
    this.listAllRunners();
  }

  /** Overrides the outcome of starts. If `decide` returns undefined, the runner decides. */
  public interceptStarts(decide: (command: StartCommand) => StartOutcome | undefined): void {
    this.startInterceptors.push(decide);
  }

  /** Updates the dispatcher's runner list with changed entries; undefined omits a runner. */
  public updateRunnerList(change: (entry: ListedRunner) => ListedRunner | undefined): void {
    const listed = [...this.runners.values()]
      .map((runner) => change(runner.entry))
      .filter((entry) => entry !== undefined);
    this.dispatcher.updateRunners(listed, this.now);
  }

  public submit(arrival: Omit<JobArrival, 'at'>): string {
    const id = String(this.jobs.size + 1).padStart(16, '0');
    const queue = replayQueues[arrival.queue] as Queue;
    const steps = arrival.steps.map((step): Step => ({ ...plainStep, ...step }));
    const account = arrival.account ?? 'anna';
    const specification = { ...createSpecification(id, steps), queue: queue.name, account };
    this.durations.set(id, arrival.durationMs);
    this.specifications.set(id, specification);
    this.dispatcher.addJob(specification, queue, this.now, this.now);
    const state = this.dispatcher.state.jobs.get(id)?.state as JobState;
    const job = { id, queue: queue.name, arrivedAt: this.now, state, startedAt: 0, endedAt: 0 };
    this.jobs.set(id, job);
    return id;
  }

  /** Advances virtual time to `until` and submits each arrival at its time. */
  public run(until: number, arrivals: readonly JobArrival[] = []): void {
    const pending = [...arrivals].sort((left, right) => left.at - right.at);
    while (this.now < until) {
      while (pending[0] !== undefined && pending[0].at <= this.now) {
        this.submit(pending.shift() as JobArrival);
      }
      this.runners.forEach((runner) => this.reportRunner(runner));
      const stepStartedAt = performance.now();
      const { starts, stops } = this.dispatcher.step(this.now, this.now, this.now);
      this.stepMs.push(performance.now() - stepStartedAt);
      this.dispatcher.takeUnstoredJobs();
      stops.forEach(({ runnerId, task, run }) => this.stopTask(runnerId, `${task}#${run}`));
      starts.forEach((command) => this.startTask(command));
      this.alignGangEnds(starts);
      this.updateJobs();
      this.now += tickMs;
    }
  }

  /** Tasks that currently run on a runner, as `task#run`. */
  public tasksOn(runnerId: string): string[] {
    return [...(this.runners.get(runnerId)?.tasks.keys() ?? [])];
  }

  private addRunner(rack: string, id: string, slowdown: number): void {
    this.runners.set(id, {
      slowdown,
      entry: {
        id,
        address: id,
        service: 'service',
        dataCentre: 'a',
        rack,
        labels: ['kind', rack],
        capacity: { cpu: 32_000, memoryMb: 131_072, accelerators: 8 },
        isDraining: false,
        processStartedAt: 1,
      },
      tasks: new Map(),
      unreportedEnds: [],
      endCount: 0,
    });
  }

  private listAllRunners(): void {
    this.updateRunnerList((entry) => entry);
    this.runners.forEach((runner) => this.reportRunner(runner));
  }

  private reportRunner(runner: SimulatedRunner): void {
    runner.tasks.forEach((task, key) => {
      if (task.stopAt <= this.now) {
        this.endTask(runner, key, task, RunEnd.stopped);
      } else if (task.endsAt <= this.now) {
        this.endTask(runner, key, task, RunEnd.done);
      }
    });
    const running = [...runner.tasks.values()].map(
      ({ command, startedAt, workDoneAt }): RunningTask => ({
        task: command.task,
        run: command.run,
        saved: '',
        percent: Math.min(100, (100 * (this.now - startedAt)) / (workDoneAt - startedAt)),
      }),
    );
    this.dispatcher.recordLeaseExtension(runner.entry.id, this.now);
    const report = {
      processStartedAt: 1,
      requestedAt: this.now - 1,
      running,
      ended: runner.unreportedEnds,
      hasMoreEnds: false,
    };
    this.dispatcher.applyReport(runner.entry.id, report, this.now);
    runner.unreportedEnds = [];
  }

  private endTask(runner: SimulatedRunner, key: string, task: SimulatedTask, end: RunEnd): void {
    runner.tasks.delete(key);
    const savesProgress =
      this.specifications.get(task.command.jobId)?.steps[0]?.savesProgress === true;
    if (end === RunEnd.stopped && !savesProgress) {
      const cores = task.size.cpu / milliPerUnit + task.size.accelerators * coresPerAccelerator;
      this.wastedCoreSeconds += (cores * (this.now - task.startedAt)) / milliPerUnit;
    }
    runner.endCount += 1;
    const { task: name, run } = task.command;
    const saved = end === RunEnd.stopped && savesProgress ? String(this.now - task.startedAt) : '';
    runner.unreportedEnds.push({ number: runner.endCount, task: name, run, end, saved });
  }

  private startTask(command: StartCommand): void {
    const runner = this.runners.get(command.runnerId) as SimulatedRunner;
    const intercepted = this.startInterceptors
      .map((decide) => decide(command))
      .find((outcome) => outcome !== undefined);
    const outcome = intercepted ?? this.tryStart(runner, command);
    this.dispatcher.recordStartOutcomes(
      command.runnerId,
      command.task,
      command.run,
      [outcome],
      this.now,
    );
  }

  private tryStart(runner: SimulatedRunner, command: StartCommand): StartOutcome {
    const stepIndex = Number(command.task.split('.')[2]);
    const size = this.specifications.get(command.jobId)?.steps[stepIndex]?.size as Step['size'];
    const used = [...runner.tasks.values()].reduce(
      (sum, task) => ({
        cpu: sum.cpu + task.size.cpu,
        memoryMb: sum.memoryMb + task.size.memoryMb,
        accelerators: sum.accelerators + task.size.accelerators,
      }),
      size,
    );
    const { capacity } = runner.entry;
    const fits =
      used.cpu <= capacity.cpu &&
      used.memoryMb <= capacity.memoryMb &&
      used.accelerators <= capacity.accelerators;
    if (!fits) {
      this.refusedStarts += 1;
      return StartOutcome.noCapacity;
    }
    const { stragglerShare = 0, stragglerFactor = 1 } = this.variation;
    const isStraggler = stragglerShare > 0 && this.random.fraction() < stragglerShare;
    const extension = runner.slowdown * (isStraggler ? stragglerFactor : 1);
    const fullMs = (this.durations.get(command.jobId) ?? 0) * extension;
    const taskMs = fullMs * this.random.jitter(1, this.variation.unevenness);
    const workDoneAt = this.now + Math.max(0, taskMs - Number(command.saved || 0));
    runner.tasks.set(`${command.task}#${command.run}`, {
      command,
      size,
      startedAt: this.now,
      workDoneAt,
      endsAt: workDoneAt,
      stopAt: Infinity,
    });
    return StartOutcome.started;
  }

  // All tasks of a gang end together.
  private alignGangEnds(starts: readonly StartCommand[]): void {
    const gangs = new Map<string, SimulatedTask[]>();
    starts.forEach(({ runnerId, jobId, task, run }) => {
      const stepIndex = Number(task.split('.')[2]);
      const started = this.runners.get(runnerId)?.tasks.get(`${task}#${run}`);
      if (started !== undefined && this.specifications.get(jobId)?.steps[stepIndex]?.isGang) {
        const key = `${jobId}.${stepIndex}`;
        gangs.set(key, [...(gangs.get(key) ?? []), started]);
      }
    });
    gangs.forEach((tasks) => {
      const endsAt = Math.max(...tasks.map(({ workDoneAt }) => workDoneAt));
      tasks.forEach((task) => Object.assign(task, { endsAt }));
    });
  }

  private stopTask(runnerId: string, key: string): void {
    const task = this.runners.get(runnerId)?.tasks.get(key);
    if (task !== undefined) {
      task.stopAt = Math.min(task.stopAt, this.now + replayBounds.stopMs);
    }
    const [name = '', run] = key.split('#');
    this.dispatcher.recordStopResponse(runnerId, 1, name, Number(run), this.now);
  }

  private updateJobs(): void {
    this.jobs.forEach((replayed) => {
      const job = this.dispatcher.state.jobs.get(replayed.id);
      if (job === undefined || replayed.endedAt > 0) {
        return;
      }
      replayed.state = job.state;
      if (job.hasStarted && replayed.startedAt === 0) {
        replayed.startedAt = this.now;
      }
      if (job.isEnded) {
        replayed.endedAt = this.now;
      }
    });
  }
}
