import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { prefix } from '@apricothoist/site/testing';

/** State of a job as its client knows it. */
export interface ClientJob {
  readonly id: string;
  readonly tasks: number;
  /** Whether an attempt to submit it succeeded. */
  isAccepted: boolean;
  /** Whether every attempt to submit it was refused. */
  isRefused: boolean;
  isCancelled: boolean;
  /** Whether its tasks crash the runners that start them. */
  readonly crashesRunners: boolean;
}

const maxSubmitAttempts = 4;
/** Longest tasks in milliseconds. */
const maxTaskMs = 1_500;
const maxLongTaskMs = 9_000;
const okStatus = 200;
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

  private isStopped = false;

  private readonly clientLoops: Promise<void>[] = [];

  public constructor(
    private readonly deployment: TestDeployment,
    private readonly random: Random,
    /** Share of the jobs whose tasks crash their runners. */
    private readonly crashingShare = 0,
    /** Share of the jobs whose tasks outlast a registry entry. */
    private readonly longShare = 0,
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
    const isLong = this.longShare > 0 && this.random.fraction() < this.longShare;
    const durationMs = 50 + this.random.below(isLong ? maxLongTaskMs : maxTaskMs);
    const gang = this.random.fraction() < 0.5;
    const mayCancel = this.random.fraction() < 0.1;
    const crashesRunners = this.crashingShare > 0 && this.random.fraction() < this.crashingShare;
    const crashesAfterMs = crashesRunners ? 1 + this.random.below(durationMs) : undefined;
    const job: ClientJob = {
      id,
      tasks,
      isAccepted: false,
      isRefused: false,
      isCancelled: false,
      crashesRunners,
    };
    this.jobs.push(job);
    let refusals = 0;
    for (let attempt = 0; attempt < maxSubmitAttempts && !job.isAccepted; attempt += 1) {
      const instance = this.random.pick(this.deployment.instances);
      const phase = { count: tasks, gang };
      const { deployment } = this;
      const response = await deployment.submit(instance, id, durationMs, phase, crashesAfterMs);
      job.isAccepted = response.status === okStatus;
      refusals += refusedStatuses.includes(response.status) ? 1 : 0;
      await delay(job.isAccepted ? 0 : 200);
    }
    job.isRefused = refusals === maxSubmitAttempts;
    if (job.isAccepted) {
      await this.checkAcceptedJob(job, mayCancel);
    }
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
