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

import type { StandIn } from './DemoProcess.js';
import { DemoProcess, startStandIn } from './DemoProcess.js';
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

/** What the command line printed. */
export interface CommandResult {
  readonly exitCode: number;
  readonly output: string;
}

/** How large the deployment is and how its stand-ins behave. */
export interface DeploymentOptions {
  readonly dataCentres: readonly string[];
  readonly instancesPerDataCentre: number;
  readonly endpointsPerDataCentre: number;
  readonly serviceMs: number;
  readonly runMs: number;
  readonly balancerLagMs: number;
}

const readyTimeoutMs = 20_000;
const pollMs = 100;

/** A whole deployment as separate processes on loopback: stand-ins and entry instances. */
export class Deployment implements AsyncDisposable {
  public readonly instances: EntryInstance[] = [];

  public endpoints: StandIn[] = [];

  public workers: StandIn[] = [];

  private rows: ListedInstance[] = [];

  /** The way from each data centre to the store. */
  public readonly storeRelays = new Map<string, TcpRelay>();

  private storePort = 0;

  private listPort = 0;

  private readonly relayPorts = new Map<string, number>();

  private folder = '';

  private readonly owned = new Disposables();

  public constructor(
    private readonly configuration: Configuration,
    private readonly options: DeploymentOptions,
  ) {}

  /** Starts the stand-ins and the instances, without a configuration. */
  public async start(): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'apricothoist-'));
    this.owned.defer(() => rm(this.folder, { recursive: true, force: true }));
    this.storePort = await this.startPlatform('store');
    this.listPort = await this.startPlatform('list');
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
    await this.publishList();
    await Promise.all(this.instances.map((instance) => this.waitUntilAnswers(instance)));
  }

  /** Runs the operators' command line against an instance. */
  public run(instance: EntryInstance, ...args: string[]): Promise<CommandResult> {
    const script = fileURLToPath(import.meta.resolve('@apricothoist/cli/bin/apricothoist.js'));
    const all = [script, ...args, '--server', instance.operatorUrl];
    return new Promise((resolve) => {
      execFile(process.execPath, all, (error, stdout, stderr) => {
        const exitCode = error === null ? 0 : Number(error.code ?? 1);
        resolve({ exitCode, output: `${stdout}${stderr}` });
      });
    });
  }

  /** Writes a file that lasts as long as the deployment. */
  public async write(name: string, text: string): Promise<string> {
    const file = path.join(this.folder, name);
    await writeFile(file, text);
    return file;
  }

  /** Sets faults of the store. */
  public controlStore(faults: object): Promise<Response> {
    return postJson(`http://127.0.0.1:${this.storePort}/control`, faults);
  }

  /** Starts an instance again after its process ended. */
  public restart(instance: EntryInstance): void {
    instance.process = this.spawnInstance(instance.name, instance.settingsFile);
  }

  /** Resolves when `condition` holds; fails after `limitMs`. */
  public static async until(
    condition: () => Promise<boolean>,
    what: string,
    limitMs = readyTimeoutMs,
  ): Promise<number> {
    const startedAt = performance.now();
    while (performance.now() - startedAt < limitMs) {
      if (await condition()) {
        return performance.now() - startedAt;
      }
      await delay(pollMs);
    }
    throw new Error(`not within ${limitMs} ms: ${what}`);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this.owned[Symbol.asyncDispose]();
  }

  /** Replaces the platform's list by the present rows, changed by `change`. */
  public async publishList(
    change: (row: ListedInstance) => ListedInstance | undefined = (row) => row,
  ): Promise<void> {
    const instances = this.rows.map(change).filter((row) => row !== undefined);
    const body = JSON.stringify({ instances });
    await fetch(`http://127.0.0.1:${this.listPort}/v1/instances`, { method: 'PUT', body });
  }

  private async startPlatform(kind: 'store' | 'list'): Promise<number> {
    const standIn = await startStandIn(kind, { kind });
    this.owned.register(standIn.process);
    return standIn.ports[0] ?? 0;
  }

  private async startRelay(dataCentre: string): Promise<void> {
    const relay = this.owned.register(new TcpRelay(this.storePort));
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
    const standIn = await startStandIn(`workers of ${dataCentre}`, {
      kind: 'workers',
      ids,
      accelerators,
      runMs,
    });
    this.owned.register(standIn.process);
    this.workers.push(standIn);
    standIn.ports.forEach((port, index) => {
      this.rows.push({
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
    const standIn = await startStandIn(`endpoints of ${dataCentre}`, {
      kind: 'endpoints',
      ids,
      slots: section?.['endpoint-slots'],
      serviceMs: this.options.serviceMs,
    });
    this.owned.register(standIn.process);
    this.endpoints.push(standIn);
    standIn.ports.forEach((port, index) => {
      this.rows.push({
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
    const settingsFile = await this.write(
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
        `instance-list = http://127.0.0.1:${this.listPort}`,
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
    this.rows.push({ id: name, role: 'entry', dataCentre, address: meshAddress, state: 'live' });
  }

  private spawnInstance(name: string, settingsFile: string): DemoProcess {
    const script = fileURLToPath(import.meta.resolve('@apricothoist/daemon/bin/apricothoistd.js'));
    const output = process.env.DEMO_LOG === 'true' ? 'inherit' : 'ignore';
    const child = spawn(process.execPath, [script, '--settings', settingsFile], {
      stdio: ['ignore', output, 'inherit'],
    });
    return this.owned.register(new DemoProcess(name, child));
  }

  private async waitUntilAnswers(instance: EntryInstance): Promise<void> {
    await Deployment.until(async () => {
      const answer = await fetch(`${instance.operatorUrl}/healthz`).catch(() => undefined);
      return answer?.ok === true;
    }, `${instance.name} answers`);
  }
}

export function postJson(url: string, body: object): Promise<Response> {
  return fetch(url, { method: 'POST', body: JSON.stringify(body) });
}
