import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { prefix } from '@apricothoist/site/testing';

/** State of a job as its client knows it. */
export interface ClientJob {
  readonly id: string;
  readonly tasks: number;
  readonly isGang: boolean;
  /** Whether an attempt to submit it succeeded. */
  isAccepted: boolean;
  /** Whether every attempt to submit it was refused. */
  isRefused: boolean;
  isCancelled: boolean;
  /** Whether its tasks crash the runners that start them. */
  readonly crashesRunners: boolean;
}

/** Shares of the jobs that are of a special kind, from 0 to 1. */
export interface JobShares {
  /** Jobs whose tasks crash their runners. */
  readonly crashing: number;
  /** Jobs whose tasks outlast a registry entry. */
  readonly long: number;
  /** Jobs whose first runs fail by their own fault. */
  readonly failing: number;
  /** Jobs that are cancelled before their submission is answered. */
  readonly impatient: number;
}

const maxSubmitAttempts = 4;
/** Attempts to cancel a job, and the longest time in milliseconds before the first one. */
const maxCancelAttempts = 6;
const maxPatienceMs = 600;
/** Longest tasks in milliseconds. */
const maxTaskMs = 1_500;
const maxLongTaskMs = 9_000;
const okStatus = 200;
const goneStatus = 410;
const refusedStatuses = [429, 503];
/** Number of hexadecimal digits of a job id after those of its client. */
const idDigits = 14;

/**
 * Clients that submit jobs, retry failed attempts as clients of the platform do, and cancel some of
 * the jobs.
 */
export class JobClients {
  public readonly jobs: ClientJob[] = [];

  public readonly violations: string[] = [];

  /** Jobs whose cancellation was answered with status 410. */
  private readonly absentIds = new Set<string>();

  private isStopped = false;

  private readonly clientLoops: Promise<void>[] = [];

  public constructor(
    private readonly deployment: TestDeployment,
    private readonly random: Random,
    private readonly shares: JobShares,
  ) {}

  public start(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.clientLoops.push(this.runClient(index));
    }
  }

  public async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.clientLoops);
  }

  private async runClient(index: number): Promise<void> {
    while (!this.isStopped) {
      await this.submitOne(index);
      await delay(this.random.below(300));
    }
  }

  private async submitOne(index: number): Promise<void> {
    const number = (this.jobs.length + 1).toString(16);
    const id = `${index.toString(16)}f${number.padStart(idDigits, '0')}`;
    const tasks = 1 + this.random.below(4);
    const isLong = this.draw(this.shares.long);
    const durationMs = 50 + this.random.below(isLong ? maxLongTaskMs : maxTaskMs);
    const isGang = this.random.fraction() < 0.5;
    const mayCancel = this.random.fraction() < 0.1;
    const crashesRunners = this.draw(this.shares.crashing);
    const defects: Parameters<TestDeployment['submit']>[4] = {
      ...(crashesRunners && { crashesAfterMs: 1 + this.random.below(durationMs) }),
      ...(this.draw(this.shares.failing) && { failsAfterMs: 1 + this.random.below(durationMs) }),
    };
    const job: ClientJob = {
      id,
      tasks,
      isGang,
      isAccepted: false,
      isRefused: false,
      isCancelled: false,
      crashesRunners,
    };
    this.jobs.push(job);
    const phase = { count: tasks, gang: isGang };
    const submit = (): ReturnType<TestDeployment['submit']> => {
      const instance = this.random.pick(this.deployment.instances);
      return this.deployment.submit(instance, id, durationMs, phase, defects);
    };
    if (this.draw(this.shares.impatient)) {
      await this.submitAndCancel(job, submit);
      return;
    }
    let refusals = 0;
    for (let attempt = 0; attempt < maxSubmitAttempts && !job.isAccepted; attempt += 1) {
      const response = await submit();
      job.isAccepted = response.status === okStatus;
      refusals += refusedStatuses.includes(response.status) ? 1 : 0;
      await delay(job.isAccepted ? 0 : 200);
    }
    job.isRefused = refusals === maxSubmitAttempts;
    if (job.isAccepted) {
      await this.checkAcceptedJob(job, mayCancel);
    }
  }

  // Random numbers are drawn only for kinds that are played, so that a seed plays the same without them.
  private draw(share: number): boolean {
    return share > 0 && this.random.fraction() < share;
  }

  /** Cancels the job while its submission may still be on its way, at any instance. */
  private async submitAndCancel(
    job: ClientJob,
    submit: () => ReturnType<TestDeployment['submit']>,
  ): Promise<void> {
    job.isCancelled = true;
    const submitted = submit();
    await delay(this.random.below(maxPatienceMs));
    for (let attempt = 0; attempt < maxCancelAttempts; attempt += 1) {
      const instance = this.random.pick(this.deployment.instances);
      const { status } = await this.deployment.call(instance, 'DELETE', `${prefix}${job.id}`);
      if (status === goneStatus) {
        this.absentIds.add(job.id);
      }
      if (status === goneStatus || status === okStatus) {
        break;
      }
      await delay(this.random.below(500));
    }
    job.isAccepted = (await submitted).status === okStatus;
    if (job.isAccepted && this.absentIds.has(job.id)) {
      this.violations.push(`${job.id}: job was accepted and its cancellation returned status 410`);
    }
  }

  /** Jobs that ran although their cancellation was answered with status 410. */
  public findUnwantedRuns(): string[] {
    return this.deployment.observedRuns
      .filter(({ task }) => this.absentIds.has(task.slice(0, task.indexOf('.'))))
      .map(
        ({ task, run }) => `${task}: run ${run} of a job whose cancellation returned status 410`,
      );
  }

  private async checkAcceptedJob(job: ClientJob, mayCancel: boolean): Promise<void> {
    const instance: InstanceProcess = this.random.pick(this.deployment.instances);
    if (mayCancel) {
      const response = await this.deployment.call(instance, 'DELETE', `${prefix}${job.id}`);
      job.isCancelled = true;
      if (response.status === 410) {
        this.violations.push(
          `${job.id}: job was accepted but its cancellation returned status 410`,
        );
      }
      return;
    }
    const state = await this.deployment.state(instance, job.id);
    if (state === '410') {
      this.violations.push(
        `${job.id}: job was accepted but its status request returned status 410`,
      );
    }
    if (state === 'completed' && this.countDoneTasks(job.id) === 0) {
      this.violations.push(`${job.id}: job was reported as completed before any task was done`);
    }
  }

  /** Returns the number of tasks of a job that some runner completed. */
  public countDoneTasks(id: string): number {
    const done = this.deployment.observedRuns.filter(
      ({ task, outcome }) => task.startsWith(id) && outcome === 'done',
    );
    return new Set(done.map(({ task }) => task)).size;
  }
}
