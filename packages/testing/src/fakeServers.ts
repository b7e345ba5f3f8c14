import process from 'node:process';

import { EndpointServer } from './EndpointServer.js';
import { InstanceListServer } from './InstanceListServer.js';
import { StoreServer } from './StoreServer.js';
import { WorkerServer } from './WorkerServer.js';

/** JSON line that the process prints once its fake servers listen, with the port of each. */
export interface FakeServersReady {
  readonly ports: readonly number[];
}

/** Options of the process, passed as JSON in its first argument. */
export interface FakeServerOptions {
  readonly kind: 'store' | 'list' | 'workers' | 'endpoints';
  readonly ids?: readonly string[];
  readonly accelerators?: number;
  readonly slots?: number;
  readonly serviceMs?: number;
  readonly runMs?: number;
}

const defaultCheckpointMs = 200;

interface Listener {
  listen(port?: number): Promise<number>;
}

function createFakeServers(options: FakeServerOptions): Listener[] {
  const { ids = [], accelerators = 8, slots = 8, serviceMs = 20, runMs = 2_000 } = options;
  const behaviour = {
    runMs: () => runMs,
    checkpointMs: defaultCheckpointMs,
    isFailing: () => false,
  };
  const creators: Record<FakeServerOptions['kind'], () => Listener[]> = {
    store: () => [new StoreServer()],
    list: () => [new InstanceListServer()],
    workers: () => ids.map((id) => new WorkerServer(id, accelerators, behaviour)),
    endpoints: () => ids.map((id) => new EndpointServer(id, slots, serviceMs)),
  };
  return creators[options.kind]();
}

const servers = createFakeServers(JSON.parse(process.argv[2] ?? '{}') as FakeServerOptions);
const ports = await Promise.all(servers.map((server) => server.listen()));
const ready: FakeServersReady = { ports };
process.stdout.write(`${JSON.stringify(ready)}\n`);
