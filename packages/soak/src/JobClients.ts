import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';
import type { InstanceProcess, TestDeployment } from '@apricothoist/site/testing';
import { prefix } from '@apricothoist/site/testing';

/** What a client knows of a job in the end. */
export interface ClientJob {
  readonly id: string;
  readonly tasks: number;
  /** Some attempt was answered with success. */
  isAccepted: boolean;
  /** Every attempt was answered as not accepted. */
  isRefused: boolean;
  isCancelled: boolean;
}

const attempts = 4;
const okStatus = 200;
const refusedStatuses = [429, 503];
/** Digits of a job's number behind that of its client. */
const idDigits = 14;

/** Clients that submit jobs, repeat attempts as the platform's clients do, and cancel some. */
export class JobClients {
  public readonly jobs: ClientJob[] = [];

  public readonly broken: string[] = [];

  private isStopped = false;

  private readonly clients: Promise<void>[] = [];

  public constructor(
    private readonly site: TestDeployment,
    private readonly random: Random,
  ) {}

  public start(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.clients.push(this.run(index));
    }
  }

  public async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.clients);
  }

  private async run(index: number): Promise<void> {
    while (!this.isStopped) {
      await this.submitOne(index);
      await delay(this.random.below(300));
    }
  }

  private async submitOne(index: number): Promise<void> {
    const number = (this.jobs.length + 1).toString(16);
    const id = `${index.toString(16)}f${number.padStart(idDigits, '0')}`;
    const tasks = 1 + this.random.below(4);
    const job = { id, tasks, isAccepted: false, isRefused: false, isCancelled: false };
    this.jobs.push(job);
    const durationMs = 50 + this.random.below(1_500);
    const gang = this.random.fraction() < 0.5;
    const mayCancel = this.random.fraction() < 0.1;
    let refusals = 0;
    for (let attempt = 0; attempt < attempts && !job.isAccepted; attempt += 1) {
      const instance = this.random.pick(this.site.instances);
      const reply = await this.site.submit(instance, id, durationMs, { count: tasks, gang });
      job.isAccepted = reply.status === okStatus;
      refusals += refusedStatuses.includes(reply.status) ? 1 : 0;
      await delay(job.isAccepted ? 0 : 200);
    }
    job.isRefused = refusals === attempts;
    if (job.isAccepted) {
      await this.look(job, mayCancel);
    }
  }

  private async look(job: ClientJob, mayCancel: boolean): Promise<void> {
    const instance: InstanceProcess = this.random.pick(this.site.instances);
    if (mayCancel) {
      const reply = await this.site.call(instance, 'DELETE', `${prefix}${job.id}`);
      job.isCancelled = true;
      if (reply.status === 410) {
        this.broken.push(`${job.id}: accepted, and absent when it was cancelled`);
      }
      return;
    }
    const state = await this.site.state(instance, job.id);
    if (state === '410') {
      this.broken.push(`${job.id}: accepted, and absent when it was looked up`);
    }
    if (state === 'completed' && this.doneTasks(job.id) === 0) {
      this.broken.push(`${job.id}: shown as completed before a task was done`);
    }
  }

  /** Tasks of a job that ended done on some runner. */
  public doneTasks(id: string): number {
    const done = this.site.observedRuns.filter(
      ({ task, how }) => task.startsWith(id) && how === 'done',
    );
    return new Set(done.map(({ task }) => task)).size;
  }
}
