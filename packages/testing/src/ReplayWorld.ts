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
export interface Arrival {
  /** Virtual milliseconds. */
  readonly at: number;
  readonly queue: string;
  readonly account?: string;
  readonly steps: readonly Partial<Step>[];
  /** True duration of each task in milliseconds. */
  readonly durationMs: number;
}

/** How a job of a replay went. */
export interface ReplayedJob {
  readonly id: string;
  readonly queue: string;
  readonly arrivedAt: number;
  state: JobState;
  startedAt: number;
  endedAt: number;
}

/** What makes runners and tasks differ. */
export interface ReplayVariety {
  /** Every so many runners one is slow; 0: none. */
  readonly slowEvery: number;
  /** Multiple of the time that a task takes on a slow runner. */
  readonly slowFactor: number;
  /** Share by which the tasks of a step differ in duration. */
  readonly unevenness: number;
}

interface VirtualTask {
  readonly order: StartCommand;
  readonly size: Step['size'];
  /** When its own work is through; a gang waits for its last member. */
  throughAt: number;
  endsAt: number;
  stoppedBy: number;
  startedAt: number;
}

interface VirtualRunner {
  /** Multiple of the time that tasks take here. */
  readonly factor: number;
  readonly listed: ListedRunner;
  readonly tasks: Map<string, VirtualTask>;
  ended: EndedTask[];
  endCount: number;
}

export const replayBounds: DispatchBounds = {
  stopMs: 900,
  reclaimMs: 3_400,
  maxLeaseMs: 6_000,
  farSlowdown: 3,
};
const tickMs = 20;
const even: ReplayVariety = { slowEvery: 0, slowFactor: 1, unevenness: 0 };
const msPerSecond = 1_000;
const coresPerAccelerator = 8;

/** One small task that cannot be saved. */
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

/** The users' two kinds of queues: urgent work of seconds, and batch work of two priorities. */
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

/** A job of the urgent queue that is due at once. */
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

/** Replays a load against the dispatcher in virtual time, with runners that keep to their orders. */
export class ReplayWorld {
  public readonly dispatcher: Dispatcher;

  public readonly jobs = new Map<string, ReplayedJob>();

  public readonly decisions: { kind: string; fields: Record<string, unknown> }[] = [];

  /** Core-seconds of runs that were stopped without being saved. */
  public wastedCoreSeconds = 0;

  /** Milliseconds of real time that each step of the dispatcher took. */
  public readonly stepMs: number[] = [];

  /** Starts that a runner refused for want of room. */
  public refusedStarts = 0;

  public now = 1_000;

  private readonly variety: ReplayVariety;

  private readonly random = new Random(1);

  private readonly runners = new Map<string, VirtualRunner>();

  private readonly durations = new Map<string, number>();

  private readonly specifications = new Map<string, JobSpecification>();

  private readonly listeners: ((order: StartCommand) => StartOutcome | undefined)[] = [];

  public constructor(
    racks: number,
    runnersPerRack: number,
    policy = defaultPolicy,
    variety = even,
  ) {
    const decide: DecisionLog['decide'] = (kind, fields) => {
      this.decisions.push({ kind, fields: { ...fields } });
    };
    this.variety = variety;
    this.dispatcher = new Dispatcher(replayBounds, { decide }, policy);
    for (let rack = 0; rack < racks; rack += 1) {
      for (let index = 0; index < runnersPerRack; index += 1) {
        const number = rack * runnersPerRack + index;
        const isSlow = variety.slowEvery > 0 && number % variety.slowEvery === 0;
        const factor = isSlow ? variety.slowFactor : 1;
        this.addRunner(`rack-${rack}`, `runner-${rack}-${index}`, factor);
      }
    }
    const queues = new Map(Object.values(replayQueues).map((queue) => [queue.name, queue]));
    const accounts = new Map([['anna', { name: 'anna', guaranteedAccelerators: 32 }]]);
    this.dispatcher.configure(queues, accounts);
    this.list();
  }

  /** Decides on starts in place of the runner; undefined leaves the start to it. */
  public interceptStarts(decide: (order: StartCommand) => StartOutcome | undefined): void {
    this.listeners.push(decide);
  }

  public listing(change: (listed: ListedRunner) => ListedRunner | undefined): void {
    const listed = [...this.runners.values()]
      .map((runner) => change(runner.listed))
      .filter((entry) => entry !== undefined);
    this.dispatcher.updateRunners(listed, this.now);
  }

  public submit(arrival: Omit<Arrival, 'at'>): string {
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

  /** Plays until `until`, with the arrivals at their times. */
  public play(until: number, arrivals: readonly Arrival[] = []): void {
    const waiting = [...arrivals].sort((left, right) => left.at - right.at);
    while (this.now < until) {
      while (waiting[0] !== undefined && waiting[0].at <= this.now) {
        this.submit(waiting.shift() as Arrival);
      }
      this.runners.forEach((runner) => this.report(runner));
      const begunAt = performance.now();
      const { starts, stops } = this.dispatcher.step(this.now, this.now);
      this.stepMs.push(performance.now() - begunAt);
      this.dispatcher.takeUnsavedJobs();
      stops.forEach(({ runnerId, task, run }) => this.stop(runnerId, `${task}#${run}`));
      starts.forEach((order) => this.start(order));
      this.joinGangs(starts);
      this.track();
      this.now += tickMs;
    }
  }

  /** Tasks that run on a runner now. */
  public tasksOn(runnerId: string): string[] {
    return [...(this.runners.get(runnerId)?.tasks.keys() ?? [])];
  }

  private addRunner(rack: string, id: string, factor: number): void {
    this.runners.set(id, {
      factor,
      listed: {
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
      ended: [],
      endCount: 0,
    });
  }

  private list(): void {
    this.listing((listed) => listed);
    this.runners.forEach((runner) => this.report(runner));
  }

  private report(runner: VirtualRunner): void {
    runner.tasks.forEach((task, key) => {
      if (task.stoppedBy <= this.now) {
        this.endTask(runner, key, task, RunEnd.stopped);
      } else if (task.endsAt <= this.now) {
        this.endTask(runner, key, task, RunEnd.done);
      }
    });
    const running = [...runner.tasks.values()].map(
      ({ order, startedAt, throughAt }): RunningTask => ({
        task: order.task,
        run: order.run,
        saved: '',
        percent: Math.min(100, (100 * (this.now - startedAt)) / (throughAt - startedAt)),
      }),
    );
    this.dispatcher.recordLeaseExtension(runner.listed.id, this.now);
    const report = { processStartedAt: 1, requestedAt: this.now - 1, running, ended: runner.ended };
    this.dispatcher.applyReport(runner.listed.id, report, this.now);
    runner.ended = [];
  }

  private endTask(runner: VirtualRunner, key: string, task: VirtualTask, end: RunEnd): void {
    runner.tasks.delete(key);
    const saves = this.specifications.get(task.order.jobId)?.steps[0]?.savesProgress === true;
    if (end === RunEnd.stopped && !saves) {
      const cores = task.size.cpu / msPerSecond + task.size.accelerators * coresPerAccelerator;
      this.wastedCoreSeconds += (cores * (this.now - task.startedAt)) / msPerSecond;
    }
    runner.endCount += 1;
    const { task: name, run } = task.order;
    const saved = end === RunEnd.stopped && saves ? String(this.now - task.startedAt) : '';
    runner.ended.push({ number: runner.endCount, task: name, run, end, saved });
  }

  private start(order: StartCommand): void {
    const runner = this.runners.get(order.runnerId) as VirtualRunner;
    const decided = this.listeners
      .map((decide) => decide(order))
      .find((each) => each !== undefined);
    const outcome = decided ?? this.tryStart(runner, order);
    this.dispatcher.recordStartOutcome(order.runnerId, order.task, order.run, outcome, this.now);
  }

  private tryStart(runner: VirtualRunner, order: StartCommand): StartOutcome {
    const stepIndex = Number(order.task.split('.')[2]);
    const size = this.specifications.get(order.jobId)?.steps[stepIndex]?.size as Step['size'];
    const used = [...runner.tasks.values()].reduce(
      (sum, task) => ({
        cpu: sum.cpu + task.size.cpu,
        memoryMb: sum.memoryMb + task.size.memoryMb,
        accelerators: sum.accelerators + task.size.accelerators,
      }),
      size,
    );
    const { capacity } = runner.listed;
    const fits =
      used.cpu <= capacity.cpu &&
      used.memoryMb <= capacity.memoryMb &&
      used.accelerators <= capacity.accelerators;
    if (!fits) {
      this.refusedStarts += 1;
      return StartOutcome.noCapacity;
    }
    const wholeMs = (this.durations.get(order.jobId) ?? 0) * runner.factor;
    const ownMs = wholeMs * this.random.jitter(1, this.variety.unevenness);
    const throughAt = this.now + Math.max(0, ownMs - Number(order.saved || 0));
    runner.tasks.set(`${order.task}#${order.run}`, {
      order,
      size,
      startedAt: this.now,
      throughAt,
      endsAt: throughAt,
      stoppedBy: Infinity,
    });
    return StartOutcome.started;
  }

  // Members of a gang end together.
  private joinGangs(starts: readonly StartCommand[]): void {
    const gangs = new Map<string, VirtualTask[]>();
    starts.forEach(({ runnerId, jobId, task, run }) => {
      const stepIndex = Number(task.split('.')[2]);
      const started = this.runners.get(runnerId)?.tasks.get(`${task}#${run}`);
      if (started !== undefined && this.specifications.get(jobId)?.steps[stepIndex]?.isGang) {
        const key = `${jobId}.${stepIndex}`;
        gangs.set(key, [...(gangs.get(key) ?? []), started]);
      }
    });
    gangs.forEach((members) => {
      const endsAt = Math.max(...members.map(({ throughAt }) => throughAt));
      members.forEach((member) => Object.assign(member, { endsAt }));
    });
  }

  private stop(runnerId: string, key: string): void {
    const task = this.runners.get(runnerId)?.tasks.get(key);
    if (task !== undefined) {
      task.stoppedBy = Math.min(task.stoppedBy, this.now + replayBounds.stopMs);
    }
    const [name = '', run] = key.split('#');
    this.dispatcher.recordStopAnswer(runnerId, name, Number(run), this.now);
  }

  private track(): void {
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
