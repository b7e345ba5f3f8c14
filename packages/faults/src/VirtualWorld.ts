import type { Clock } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';
import type { EntryCore } from '@apricothoist/daemon/core';
import { planPrefix } from '@apricothoist/daemon/core';
import type { ListedInstance } from '@apricothoist/platform';
import type { JobState, Plan, Shape } from '@apricothoist/scheduler';
import { createJob, PlanChangeKind } from '@apricothoist/scheduler';
import { MemoryStore, WorkerModel } from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';

import { VirtualCaller } from './VirtualCaller.js';
import {
  acceleratorsPerWorker,
  checkpointMs,
  configurationText,
  dataCentres,
  endpointSlots,
  endpointsPerDataCentre,
  instancesPerDataCentre,
  minuteMs,
  runMs,
  startTime,
  workerCount,
  workersPerRack,
} from './virtualDeployment.js';
import { VirtualEndpoint } from './VirtualEndpoint.js';
import { createVirtualCore } from './VirtualInstance.js';
import type { VirtualMesh } from './VirtualMesh.js';
import { VirtualNetwork } from './VirtualNetwork.js';

/** One entry instance of the world. */
export interface WorldInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly core: EntryCore;
  isAlive: boolean;
  /** True from the begin of a planned stop. */
  isLeaving: boolean;
  /** Revisions that were in force here, in order. */
  readonly revisions: number[];
}

/** An accepted configuration and when it was accepted. Virtual milliseconds. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly at: number;
}

/**
 * A small deployment in virtual time: the product's cores over fakes of everything else. One
 * world at a time, because it replaces the process's timers.
 */
export class VirtualWorld implements AsyncDisposable {
  private readonly timers = install({
    now: startTime,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  public readonly clock: Clock = {
    monotonic: () => this.timers.now,
    wall: () => this.timers.now,
  };

  public readonly network = new VirtualNetwork(() => this.timers.now);

  public readonly store = new MemoryStore(() => this.timers.now);

  public readonly instances: WorldInstance[] = [];

  public readonly workers = new Map<string, WorkerModel>();

  public readonly endpoints = new Map<string, VirtualEndpoint>();

  public readonly accepted: AcceptedRevision[] = [];

  public readonly caller: VirtualCaller;

  /** Errors that the cores did not handle. */
  public readonly errors: unknown[] = [];

  /** Plans in the order in which the store took them. */
  public readonly plans: Plan[] = [];

  /** Milliseconds by which the instance list lags. */
  public listLagMs = 0;

  /** Workers that fail every task. */
  public readonly failingWorkers = new Set<string>();

  private readonly meshes = new Map<string, VirtualMesh>();

  private rows: ListedInstance[] = [];

  private readonly rowHistory: { at: number; rows: readonly ListedInstance[] }[] = [];

  private identifiers = 0;

  public constructor(private readonly seed: number) {
    this.caller = new VirtualCaller(this);
  }

  public get now(): number {
    return this.timers.now;
  }

  /** Starts everything and puts the first configuration in force. */
  public async start(): Promise<void> {
    dataCentres.forEach((dataCentre) => this.addPlatform(dataCentre));
    dataCentres.forEach((dataCentre) => {
      for (let number = 1; number <= instancesPerDataCentre; number += 1) {
        this.addInstance(`${dataCentre}-entry-${number}`, dataCentre);
      }
    });
    await this.run(1_500);
    await this.complete(this.publish(100));
    await this.run(7_000);
  }

  /** Starts a new instance. */
  public addInstance(name: string, dataCentre: string): WorldInstance {
    const seed = this.seed + this.instances.length;
    const core = createVirtualCore(name, dataCentre, seed, {
      clock: this.clock,
      network: this.network,
      store: this.store,
      list: (reader) => this.readList(reader),
      workers: this.workers,
      endpoints: this.endpoints,
      meshes: this.meshes,
      createId: () => this.createId(),
    });
    const instance: WorldInstance = {
      name,
      dataCentre,
      core,
      isAlive: true,
      isLeaving: false,
      revisions: [],
    };
    core.configurations.onAdopt(({ revision }) => instance.revisions.push(revision));
    core.plan.onAdopt((plan) => this.notePlan(plan));
    core.onError((error) => this.errors.push(error));
    this.instances.push(instance);
    this.changeRows((rows) => [
      ...rows,
      { id: name, role: 'entry', dataCentre, address: name, state: 'live' },
    ]);
    core.start();
    return instance;
  }

  /** Lets virtual time pass. */
  public async run(milliseconds: number): Promise<void> {
    let isOver = false;
    setTimeout(() => {
      isOver = true;
    }, milliseconds);
    while (!isOver) {
      this.timers.next();
      await settlePromises();
    }
  }

  /** Lets time pass until the condition holds; false when it does not within the limit. */
  public async runUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.now + limitMs;
    while (!condition()) {
      if (this.now >= end) {
        return false;
      }
      await this.run(20);
    }
    return true;
  }

  /** Lets time pass until the promise settles. */
  public async complete<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const settle = (): void => {
      isSettled = true;
    };
    promise.then(settle, settle);
    while (!isSettled) {
      await this.run(1);
    }
    return promise;
  }

  /** Ends an instance at once, as kill -9 does. */
  public kill(instance: WorldInstance): void {
    instance.isAlive = false;
    this.network.kill(instance.name);
  }

  /** A planned stop, as SIGTERM starts it. */
  public async stop(instance: WorldInstance): Promise<void> {
    instance.isLeaving = true;
    instance.core.leave();
    this.changeRows((rows) =>
      rows.map((row) => (row.id === instance.name ? { ...row, state: 'leaving' } : row)),
    );
    const lagMs = 2_000;
    await new Promise((resolve) => {
      setTimeout(resolve, lagMs);
    });
    // The last requests of the balancer arrive just before the instance closes.
    const last = Array.from({ length: 3 }, () => this.caller.send(instance));
    last.forEach((sent) => sent.catch((error: unknown) => this.errors.push(error)));
    await instance.core[Symbol.asyncDispose]();
    instance.isAlive = false;
    this.changeRows((rows) => rows.filter((row) => row.id !== instance.name));
  }

  /** Makes the platform's list forget rows that are gone. */
  public delist(id: string): void {
    this.changeRows((rows) => rows.filter((row) => row.id !== id));
  }

  public markLeaving(id: string): void {
    this.changeRows((rows) =>
      rows.map((row) => (row.id === id ? { ...row, state: 'leaving' } : row)),
    );
  }

  /** Publishes a configuration through any live instance, as `apply` does. */
  public async publish(limit: number, from = this.liveInstances()[0]): Promise<boolean> {
    if (from === undefined) {
      return false;
    }
    const published = await from.core.configurationStore.publish({
      changeId: `change-${limit}`,
      expectedRevision: from.core.configurations.revision,
      text: configurationText(limit),
      author: 'operator',
      reason: 'test',
      at: this.now,
    });
    if (published.isOk()) {
      this.accepted.push({ revision: published.value.revision, at: this.now });
      from.core.configurations.offer(published.value);
    }
    return published.isOk();
  }

  /** Submits a job through any live instance; resolves with whether that is certain. */
  public async submit(
    id: string,
    account: string,
    shape: Shape,
    from = this.liveInstances()[0],
  ): Promise<boolean> {
    const written = await from?.core.configuredPlanOf('a')?.change({
      kind: PlanChangeKind.submit,
      job: createJob(
        { id, name: id, account, shape, urgency: 'normal', declaredMs: minuteMs },
        this.now,
      ),
    });
    return written?.isOk() === true;
  }

  public async cancel(jobId: string, from = this.liveInstances()[0]): Promise<void> {
    const plan = from?.core.configuredPlanOf('a');
    await plan?.change({ kind: PlanChangeKind.cancel, jobId });
  }

  public liveInstances(dataCentre?: string): WorldInstance[] {
    return this.instances.filter(
      (instance) =>
        instance.isAlive &&
        !instance.isLeaving &&
        (dataCentre === undefined || instance.dataCentre === dataCentre),
    );
  }

  /** The instance that schedules data centre a, or any of its instances. */
  public leader(): WorldInstance | undefined {
    const own = this.liveInstances('a');
    return own.find((instance) => instance.core.runner.leads) ?? own[0];
  }

  /** The plan of data centre a as the store holds it. */
  public storedPlan(): Plan | undefined {
    const stored = this.store.peek(`${planPrefix}a`);
    return stored === undefined ? undefined : (JSON.parse(stored) as { data: Plan }).data;
  }

  public jobState(jobId: string): JobState | undefined {
    return this.storedPlan()?.jobs.find((job) => job.id === jobId)?.state;
  }

  public get configuration(): Configuration {
    return parseConfiguration(configurationText(100), 'virtual')._unsafeUnwrap();
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.timers.uninstall();
  }

  private addPlatform(dataCentre: string): void {
    for (let index = 0; index < workerCount; index += 1) {
      const id = `${dataCentre}-worker-${index}`;
      const model = new WorkerModel(id, acceleratorsPerWorker, {
        runMs: () => runMs,
        checkpointMs,
        isFailing: () => this.failingWorkers.has(id),
      });
      this.workers.set(id, model);
      const rack = `${dataCentre}-rack-${Math.floor(index / workersPerRack)}`;
      this.changeRows((rows) => [
        ...rows,
        {
          id,
          role: 'worker',
          dataCentre,
          address: id,
          state: 'live',
          rack,
          accelerators: acceleratorsPerWorker,
        },
      ]);
    }
    for (let index = 0; index < endpointsPerDataCentre; index += 1) {
      const id = `${dataCentre}-endpoint-${index}`;
      this.endpoints.set(id, new VirtualEndpoint(id, endpointSlots, () => this.now));
      this.changeRows((rows) => [
        ...rows,
        { id, role: 'endpoint', dataCentre, address: id, state: 'live', service: 'service' },
      ]);
    }
  }

  private changeRows(change: (rows: ListedInstance[]) => ListedInstance[]): void {
    this.rows = change(this.rows);
    this.rowHistory.push({ at: this.now, rows: this.rows });
  }

  // The first time that an instance of its data centre reads it, a leaving endpoint's sign is there.
  private readList(reader: string): readonly ListedInstance[] {
    const rows = this.listedRows();
    const dataCentre = this.instances.find((instance) => instance.name === reader)?.dataCentre;
    rows
      .filter((row) => row.state === 'leaving' && row.dataCentre === dataCentre)
      .forEach((row) => this.endpoints.get(row.id)?.noteSign());
    return rows;
  }

  private listedRows(): readonly ListedInstance[] {
    const visible = this.rowHistory.findLast((entry) => entry.at <= this.now - this.listLagMs);
    return (visible ?? this.rowHistory[0])?.rows ?? [];
  }

  private notePlan(plan: Plan): void {
    const newest = this.plans.at(-1);
    if (plan.dataCentre === 'a' && plan.revision > (newest?.revision ?? 0)) {
      this.plans.push(plan);
    }
  }

  private createId(): string {
    this.identifiers += 1;
    return `id-${this.identifiers}`;
  }
}

// All promises that can settle without time passing have settled by the next turn of the loop.
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
