import { execFile, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { Disposables } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import type { ListedInstance } from '@apricothoist/platform';
import { TcpRelay } from '@apricothoist/testing';

import type { FakeServerProcess } from './DemoProcess.js';
import { DemoProcess, startFakeServerProcess } from './DemoProcess.js';
import { findFreePorts } from './findFreePorts.js';

/** One entry instance of the deployment. */
export interface EntryInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly meshAddress: string;
  readonly settingsFile: string;
  process: DemoProcess;
}

/** Exit code and combined output of a command. */
export interface CommandResult {
  readonly exitCode: number;
  readonly output: string;
}

/** Size of the deployment and behaviour of its fake servers. */
export interface DeploymentOptions {
  readonly dataCentres: readonly string[];
  readonly instancesPerDataCentre: number;
  readonly endpointsPerDataCentre: number;
  readonly serviceMs: number;
  readonly runMs: number;
  readonly balancerLagMs: number;
}

const readyTimeoutMs = 20_000;
const pollIntervalMs = 100;

/**
 * A complete deployment as separate processes on loopback: entry instances, and fake servers for
 * the platform, the endpoints and the workers.
 */
export class Deployment implements AsyncDisposable {
  public readonly instances: EntryInstance[] = [];

  public endpoints: FakeServerProcess[] = [];

  public workers: FakeServerProcess[] = [];

  private listedInstances: ListedInstance[] = [];

  /** Relay between the instances of each data centre and the store, for network faults. */
  public readonly storeRelays = new Map<string, TcpRelay>();

  private storePort = 0;

  private instanceListPort = 0;

  private readonly relayPorts = new Map<string, number>();

  private temporaryFolder = '';

  private readonly disposables = new Disposables();

  public constructor(
    private readonly configuration: Configuration,
    private readonly options: DeploymentOptions,
  ) {}

  /** Starts the fake servers and the instances; no configuration is published. */
  public async start(): Promise<void> {
    this.temporaryFolder = await mkdtemp(path.join(tmpdir(), 'apricothoist-'));
    this.disposables.defer(() => rm(this.temporaryFolder, { recursive: true, force: true }));
    this.storePort = await this.startPlatformServer('store');
    this.instanceListPort = await this.startPlatformServer('list');
    for (const dataCentre of this.options.dataCentres) {
      await this.startRelay(dataCentre);
      await this.startWorkers(dataCentre);
      await this.startEndpoints(dataCentre);
    }
    for (const dataCentre of this.options.dataCentres) {
      for (let number = 1; number <= this.options.instancesPerDataCentre; number += 1) {
        await this.startInstance(`${dataCentre}-${number}`, dataCentre);
      }
    }
    await this.publishInstanceList();
    await Promise.all(this.instances.map((instance) => this.waitUntilHealthy(instance)));
  }

  /** Runs a command of the operators' command line against an instance. */
  public runCommand(instance: EntryInstance, ...args: string[]): Promise<CommandResult> {
    const script = fileURLToPath(import.meta.resolve('@apricothoist/cli/bin/apricothoist.js'));
    const processArgs = [script, ...args, '--server', instance.operatorUrl];
    return new Promise((resolve) => {
      execFile(process.execPath, processArgs, (error, stdout, stderr) => {
        const exitCode = error === null ? 0 : Number(error.code ?? 1);
        resolve({ exitCode, output: `${stdout}${stderr}` });
      });
    });
  }

  /** Writes a file that is deleted when the deployment is disposed. */
  public async writeTemporaryFile(name: string, text: string): Promise<string> {
    const file = path.join(this.temporaryFolder, name);
    await writeFile(file, text);
    return file;
  }

  /** Sets the faults that the fake store simulates. */
  public setStoreFaults(faults: object): Promise<Response> {
    return postJson(`http://127.0.0.1:${this.storePort}/control`, faults);
  }

  /** Starts a new process for an instance whose process has exited. */
  public restart(instance: EntryInstance): void {
    instance.process = this.spawnInstance(instance.name, instance.settingsFile);
  }

  /**
   * Polls until `condition` is true, and resolves to the elapsed milliseconds; rejects after
   * `timeoutMs`.
   */
  public static async waitUntil(
    condition: () => Promise<boolean>,
    description: string,
    timeoutMs = readyTimeoutMs,
  ): Promise<number> {
    const startedAt = performance.now();
    while (performance.now() - startedAt < timeoutMs) {
      if (await condition()) {
        return performance.now() - startedAt;
      }
      await delay(pollIntervalMs);
    }
    throw new Error(`timed out after ${timeoutMs} ms waiting for: ${description}`);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.disposables[Symbol.asyncDispose]();
  }

  /**
   * Replaces the platform's instance list by the entries of this deployment; `transform` may change
   * an entry, or leave it out by returning undefined.
   */
  public async publishInstanceList(
    transform: (entry: ListedInstance) => ListedInstance | undefined = (entry) => entry,
  ): Promise<void> {
    const instances = this.listedInstances.map(transform).filter((entry) => entry !== undefined);
    const body = JSON.stringify({ instances });
    await fetch(`http://127.0.0.1:${this.instanceListPort}/v1/instances`, { method: 'PUT', body });
  }

  private async startPlatformServer(kind: 'store' | 'list'): Promise<number> {
    const fakeServers = await startFakeServerProcess(kind, { kind });
    this.disposables.register(fakeServers.process);
    return fakeServers.ports[0] ?? 0;
  }

  private async startRelay(dataCentre: string): Promise<void> {
    const relay = this.disposables.register(new TcpRelay(this.storePort));
    this.storeRelays.set(dataCentre, relay);
    this.relayPorts.set(dataCentre, await relay.listen());
  }

  private async startWorkers(dataCentre: string): Promise<void> {
    const pool = this.configuration.workers[dataCentre];
    if (pool === undefined) {
      return;
    }
    const ids = Array.from({ length: pool.count }, (_, index) => `${dataCentre}-worker-${index}`);
    const { accelerators } = pool;
    const { runMs } = this.options;
    const fakeServers = await startFakeServerProcess(`workers of ${dataCentre}`, {
      kind: 'workers',
      ids,
      accelerators,
      runMs,
    });
    this.disposables.register(fakeServers.process);
    this.workers.push(fakeServers);
    fakeServers.ports.forEach((port, index) => {
      this.listedInstances.push({
        id: ids[index] ?? '',
        role: 'worker',
        dataCentre,
        address: `127.0.0.1:${port}`,
        state: 'live',
        rack: `${dataCentre}-rack-${Math.floor(index / pool['workers-per-rack'])}`,
        accelerators,
      });
    });
  }

  private async startEndpoints(dataCentre: string): Promise<void> {
    const [[service, section] = []] = Object.entries(this.configuration.service);
    const count = this.options.endpointsPerDataCentre;
    const ids = Array.from({ length: count }, (_, index) => `${dataCentre}-endpoint-${index}`);
    const fakeServers = await startFakeServerProcess(`endpoints of ${dataCentre}`, {
      kind: 'endpoints',
      ids,
      slots: section?.['endpoint-slots'],
      serviceMs: this.options.serviceMs,
    });
    this.disposables.register(fakeServers.process);
    this.endpoints.push(fakeServers);
    fakeServers.ports.forEach((port, index) => {
      this.listedInstances.push({
        id: ids[index] ?? '',
        role: 'endpoint',
        dataCentre,
        address: `127.0.0.1:${port}`,
        state: 'live',
        service,
      });
    });
  }

  private async startInstance(name: string, dataCentre: string): Promise<void> {
    const [caller = 0, operator = 0, mesh = 0] = await findFreePorts(3);
    const settingsFile = await this.writeTemporaryFile(
      `${name}.ini`,
      [
        '[instance]',
        `name = ${name}`,
        `data-centre = ${dataCentre}`,
        `balancer-lag-ms = ${this.options.balancerLagMs}`,
        '[listeners]',
        `caller = 127.0.0.1:${caller}`,
        `operator = 127.0.0.1:${operator}`,
        `mesh = 127.0.0.1:${mesh}`,
        '[platform]',
        `store = http://127.0.0.1:${this.relayPorts.get(dataCentre)}`,
        `instance-list = http://127.0.0.1:${this.instanceListPort}`,
        '[log]',
        'format = json',
        '',
      ].join('\n'),
    );
    const meshAddress = `127.0.0.1:${mesh}`;
    this.instances.push({
      name,
      dataCentre,
      callerUrl: `http://127.0.0.1:${caller}`,
      operatorUrl: `http://127.0.0.1:${operator}`,
      meshAddress,
      settingsFile,
      process: this.spawnInstance(name, settingsFile),
    });
    this.listedInstances.push({
      id: name,
      role: 'entry',
      dataCentre,
      address: meshAddress,
      state: 'live',
    });
  }

  private spawnInstance(name: string, settingsFile: string): DemoProcess {
    const script = fileURLToPath(import.meta.resolve('@apricothoist/daemon/bin/apricothoistd.js'));
    const output = process.env.DEMO_LOG === 'true' ? 'inherit' : 'ignore';
    const child = spawn(process.execPath, [script, '--settings', settingsFile], {
      stdio: ['ignore', output, 'inherit'],
    });
    return this.disposables.register(new DemoProcess(name, child));
  }

  private async waitUntilHealthy(instance: EntryInstance): Promise<void> {
    await Deployment.waitUntil(async () => {
      const response = await fetch(`${instance.operatorUrl}/healthz`).catch(() => undefined);
      return response?.ok === true;
    }, `${instance.name} to answer /healthz`);
  }
}

export function postJson(url: string, body: object): Promise<Response> {
  return fetch(url, { method: 'POST', body: JSON.stringify(body) });
}
