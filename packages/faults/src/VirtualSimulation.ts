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
  jobRunMs,
  startTimeMs,
  workerCount,
  workersPerRack,
} from './virtualDeployment.js';
import { VirtualEndpoint } from './VirtualEndpoint.js';
import { createVirtualCore } from './VirtualInstance.js';
import type { VirtualMesh } from './VirtualMesh.js';
import { VirtualNetwork } from './VirtualNetwork.js';

/** One entry instance of the simulation. */
export interface SimulatedInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly core: EntryCore;
  isAlive: boolean;
  /** True from the start of a graceful shutdown. */
  isLeaving: boolean;
  /** Configuration revisions that this instance adopted, in order of adoption. */
  readonly adoptedRevisions: number[];
}

/** A configuration revision that the store accepted. `acceptedAt` is in virtual milliseconds. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly acceptedAt: number;
}

/**
 * Simulates a small deployment in virtual time: the product's cores run against fakes of the
 * network, the store, the workers and the endpoints. Only one simulation may exist at a time,
 * because it replaces the timers of the process.
 */
export class VirtualSimulation implements AsyncDisposable {
  private readonly timers = install({
    now: startTimeMs,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  public readonly clock: Clock = {
    monotonic: () => this.timers.now,
    wall: () => this.timers.now,
  };

  public readonly network = new VirtualNetwork(() => this.timers.now);

  public readonly store = new MemoryStore(() => this.timers.now);

  public readonly instances: SimulatedInstance[] = [];

  public readonly workers = new Map<string, WorkerModel>();

  public readonly endpoints = new Map<string, VirtualEndpoint>();

  public readonly acceptedRevisions: AcceptedRevision[] = [];

  public readonly caller: VirtualCaller;

  /** Unhandled errors of the cores, the caller and graceful shutdowns. */
  public readonly errors: unknown[] = [];

  /** Adopted plans of data centre a, in order of revision. */
  public readonly plans: Plan[] = [];

  /** Age in milliseconds of the instance list that readers receive. */
  public listLagMs = 0;

  /** Identifiers of the workers that fail every task. */
  public readonly failingWorkers = new Set<string>();

  private readonly meshes = new Map<string, VirtualMesh>();

  private listEntries: ListedInstance[] = [];

  private readonly listHistory: { at: number; entries: readonly ListedInstance[] }[] = [];

  private createdIds = 0;

  public constructor(private readonly seed: number) {
    this.caller = new VirtualCaller(this);
  }

  public get now(): number {
    return this.timers.now;
  }

  /** Starts workers, endpoints and instances, and publishes the first configuration. */
  public async start(): Promise<void> {
    dataCentres.forEach((dataCentre) => this.addWorkersAndEndpoints(dataCentre));
    dataCentres.forEach((dataCentre) => {
      for (let number = 1; number <= instancesPerDataCentre; number += 1) {
        this.addInstance(`${dataCentre}-entry-${number}`, dataCentre);
      }
    });
    await this.run(1_500);
    await this.runUntilSettled(this.publish(100));
    await this.run(7_000);
  }

  /** Adds an entry instance to the list and starts it. */
  public addInstance(name: string, dataCentre: string): SimulatedInstance {
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
    const instance: SimulatedInstance = {
      name,
      dataCentre,
      core,
      isAlive: true,
      isLeaving: false,
      adoptedRevisions: [],
    };
    core.configurations.onAdopt(({ revision }) => instance.adoptedRevisions.push(revision));
    core.plan.onAdopt((plan) => this.recordPlan(plan));
    core.onError((error) => this.errors.push(error));
    this.instances.push(instance);
    this.updateList((entries) => [
      ...entries,
      { id: name, role: 'entry', dataCentre, address: name, state: 'live' },
    ]);
    core.start();
    return instance;
  }

  /** Advances virtual time. */
  public async run(milliseconds: number): Promise<void> {
    let hasElapsed = false;
    setTimeout(() => {
      hasElapsed = true;
    }, milliseconds);
    while (!hasElapsed) {
      this.timers.next();
      await flushPromises();
    }
  }

  /** Advances virtual time until the condition holds; false if it does not within the limit. */
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

  /** Advances virtual time until the promise settles. */
  public async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
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

  /** Terminates an instance without notice, as SIGKILL does. */
  public kill(instance: SimulatedInstance): void {
    instance.isAlive = false;
    this.network.kill(instance.name);
  }

  /** Shuts an instance down gracefully, as SIGTERM does. */
  public async stop(instance: SimulatedInstance): Promise<void> {
    instance.isLeaving = true;
    instance.core.leave();
    this.updateList((entries) =>
      entries.map((entry) => (entry.id === instance.name ? { ...entry, state: 'leaving' } : entry)),
    );
    const balancerLagMs = 2_000;
    await new Promise((resolve) => {
      setTimeout(resolve, balancerLagMs);
    });
    // The load balancer sends its last requests just before the instance closes.
    const lateRequests = Array.from({ length: 3 }, () => this.caller.send(instance));
    lateRequests.forEach((sent) => sent.catch((error: unknown) => this.errors.push(error)));
    await instance.core[Symbol.asyncDispose]();
    instance.isAlive = false;
    this.updateList((entries) => entries.filter((entry) => entry.id !== instance.name));
  }

  /** Removes an instance, worker or endpoint from the platform's instance list. */
  public removeFromList(id: string): void {
    this.updateList((entries) => entries.filter((entry) => entry.id !== id));
  }

  public markLeaving(id: string): void {
    this.updateList((entries) =>
      entries.map((entry) => (entry.id === id ? { ...entry, state: 'leaving' } : entry)),
    );
  }

  /** Publishes a configuration through a live instance, as the command `apply` does. */
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
      this.acceptedRevisions.push({ revision: published.value.revision, acceptedAt: this.now });
      from.core.configurations.offer(published.value);
    }
    return published.isOk();
  }

  /** Submits a job through a live instance. Resolves with true only if the plan was written. */
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

  public liveInstances(dataCentre?: string): SimulatedInstance[] {
    return this.instances.filter(
      (instance) =>
        instance.isAlive &&
        !instance.isLeaving &&
        (dataCentre === undefined || instance.dataCentre === dataCentre),
    );
  }

  /** The instance that schedules data centre a; if there is none, any live instance there. */
  public leader(): SimulatedInstance | undefined {
    const candidates = this.liveInstances('a');
    return candidates.find((instance) => instance.core.runner.isLeader) ?? candidates[0];
  }

  /** The plan of data centre a in the store. */
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

  private addWorkersAndEndpoints(dataCentre: string): void {
    for (let index = 0; index < workerCount; index += 1) {
      const id = `${dataCentre}-worker-${index}`;
      const model = new WorkerModel(id, acceleratorsPerWorker, {
        runMs: () => jobRunMs,
        checkpointMs,
        isFailing: () => this.failingWorkers.has(id),
      });
      this.workers.set(id, model);
      const rack = `${dataCentre}-rack-${Math.floor(index / workersPerRack)}`;
      this.updateList((entries) => [
        ...entries,
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
      this.updateList((entries) => [
        ...entries,
        { id, role: 'endpoint', dataCentre, address: id, state: 'live', service: 'service' },
      ]);
    }
  }

  private updateList(change: (entries: ListedInstance[]) => ListedInstance[]): void {
    this.listEntries = change(this.listEntries);
    this.listHistory.push({ at: this.now, entries: this.listEntries });
  }

  // A leaving endpoint is known to leave from the first read of the list that shows it as leaving, by
  // an instance of its data centre.
  private readList(reader: string): readonly ListedInstance[] {
    const entries = this.visibleEntries();
    const dataCentre = this.instances.find((instance) => instance.name === reader)?.dataCentre;
    entries
      .filter((entry) => entry.state === 'leaving' && entry.dataCentre === dataCentre)
      .forEach((entry) => this.endpoints.get(entry.id)?.recordLeavingSignal());
    return entries;
  }

  private visibleEntries(): readonly ListedInstance[] {
    const visibleVersion = this.listHistory.findLast(
      (entry) => entry.at <= this.now - this.listLagMs,
    );
    return (visibleVersion ?? this.listHistory[0])?.entries ?? [];
  }

  private recordPlan(plan: Plan): void {
    const newest = this.plans.at(-1);
    if (plan.dataCentre === 'a' && plan.revision > (newest?.revision ?? 0)) {
      this.plans.push(plan);
    }
  }

  private createId(): string {
    this.createdIds += 1;
    return `id-${this.createdIds}`;
  }
}

// Promises that do not depend on a timer settle before the next iteration of the event loop.
function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
