import { createServer } from 'node:http';
import type { Server } from 'node:http';

import type { Clock } from '@apricothoist/common';
import { createIdentifier, delay, Disposables, Random } from '@apricothoist/common';
import type { DigestContentFactory, Mesh } from '@apricothoist/mesh';
import { MeshNode } from '@apricothoist/mesh';
import { HttpInstanceList, HttpStoreTransport, HttpWorkerClient } from '@apricothoist/platform';
import type { EventLog } from '@apricothoist/telemetry';

import { CallerListener } from './CallerListener.js';
import type { CoreServices } from './CoreServices.js';
import { createStatusReport } from './createStatusReport.js';
import { EntryCore } from './EntryCore.js';
import { EventKinds } from './events.js';
import { HttpEndpointSender } from './HttpEndpointSender.js';
import { InstanceEventLogger } from './InstanceEventLogger.js';
import { Metrics } from './Metrics.js';
import { OperatorApi } from './OperatorApi.js';
import { OperatorListener } from './OperatorListener.js';
import type { Credentials, ListenAddress, Settings } from './Settings.js';
import type { StatusReport } from './StatusReport.js';

/** One entry instance as a process: the core plus listeners, platform clients and logging. */
export class Instance implements AsyncDisposable {
  private readonly instanceId = createIdentifier();

  private readonly disposables = new Disposables();

  private readonly core: EntryCore;

  private readonly callerListener: CallerListener;

  private readonly operatorListener: OperatorListener;

  private readonly meshServer: Server = createServer((_, response) => {
    response.writeHead(404).end();
  });

  private shortfall: StatusReport['shortfall'] = [];

  public constructor(
    private readonly settings: Settings,
    private readonly credentials: Credentials,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    const { platform, instance } = settings;
    this.core = new EntryCore(
      {
        instanceId: this.instanceId,
        dataCentre: instance['data-centre'],
        meshAddress: formatAddress(settings.listeners.mesh),
        storeCallsPerSecond: platform['store-calls-per-second'],
        storeTimeoutMs: platform['store-timeout-ms'],
        listIntervalMs: platform['list-interval-ms'],
      },
      this.createServices(),
    );
    const metrics = new Metrics(() => this.status());
    this.callerListener = new CallerListener(this.core.routers, credentials.callers, clock);
    this.operatorListener = this.createOperatorListener(metrics);
    this.callerListener.onRequestEnd((record) => metrics.record(record));
    this.core.runner.onShortfall((units) => {
      this.shortfall = units.map(({ account, guarantee }) => ({ account, guarantee, units: 1 }));
    });
    const events = new InstanceEventLogger(log);
    events.subscribe({
      core: this.core,
      callerListener: this.callerListener,
      operatorListener: this.operatorListener,
    });
  }

  /** Opens the listeners and starts the core. */
  public async start(): Promise<void> {
    const { listeners } = this.settings;
    await listen(this.meshServer, listeners.mesh);
    await listen(this.operatorListener.server, listeners.operator);
    await listen(this.callerListener.server, listeners.caller);
    this.core.start();
    const address = formatAddress(listeners.caller);
    this.log.emit(EventKinds.started, { instanceId: this.instanceId, address });
  }

  /**
   * Shuts down gracefully: announces that it is leaving, continues to serve while the load balancer
   * may still send requests, finishes the open requests, and closes.
   */
  public async stop(): Promise<void> {
    this.log.emit(EventKinds.stopping, { openRequests: this.core.routers.openRequestCount });
    this.core.leave();
    this.callerListener.startDraining();
    await delay(this.settings.instance['balancer-lag-ms']);
    await this[Symbol.asyncDispose]();
    this.log.emit(EventKinds.stopped);
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.callerListener[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
    await this.operatorListener[Symbol.asyncDispose]();
    this.meshServer.close();
    await this.disposables[Symbol.asyncDispose]();
  }

  private createServices(): CoreServices {
    const { clock } = this;
    const { platform } = this.settings;
    const random = new Random(Math.floor(Math.random() * 2 ** 31));
    return {
      clock,
      random,
      createId: createIdentifier,
      transport: this.disposables.register(new HttpStoreTransport(platform.store, clock)),
      instanceList: new HttpInstanceList(platform['instance-list'], clock),
      workerClient: this.disposables.register(new HttpWorkerClient(clock)),
      createMesh: (describe) => this.createMesh(describe),
      createSender: (section) =>
        new HttpEndpointSender(
          this.instanceId,
          clock,
          section['endpoint-connections'],
          section['max-body-bytes'],
        ),
    };
  }

  private createMesh(describe: DigestContentFactory): Mesh {
    const identity = {
      instanceId: this.instanceId,
      dataCentre: this.settings.instance['data-centre'],
      address: formatAddress(this.settings.listeners.mesh),
    };
    return new MeshNode(identity, this.credentials.mesh, this.meshServer, this.clock, describe);
  }

  private createOperatorListener(metrics: Metrics): OperatorListener {
    const { configurations, configurationStore } = this.core;
    const api = new OperatorApi({
      clock: this.clock,
      log: this.log,
      configurations,
      configurationStore,
      planOf: (dataCentre) => this.core.configuredPlanOf(dataCentre),
      status: () => this.status(),
    });
    const isReady = (): boolean => this.core.isReady;
    return new OperatorListener(api, metrics, this.credentials.operator, isReady);
  }

  private status(): StatusReport {
    const { name, 'data-centre': dataCentre } = this.settings.instance;
    return createStatusReport({
      instanceId: this.instanceId,
      name,
      dataCentre,
      core: this.core,
      shortfall: this.shortfall,
    });
  }
}

function formatAddress(address: ListenAddress): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

function listen(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve());
  });
}
