import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

import { listen, readBody, send } from './store.mjs';

const pageSize = 50;

/** The platform's machines, with the upkeep of waves; each has a runner while it is up. */
export class Machines {
  /**
   * @param options `maintenanceMs` and `createRunner(machine, life)`, which begins a runner there
   */
  constructor(store, options, record) {
    this.store = store;
    this.options = options;
    this.record = record;
    this.machines = new Map();
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  listen(host) {
    return listen(this.server, host);
  }

  add(name, runner) {
    this.machines.set(name, { name, state: 'up', runner, life: 1, token: 0, done: new Set() });
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://machines');
    const body = await readBody(request);
    if (request.method === 'GET' && url.pathname === '/machines') {
      const from = Number(url.searchParams.get('pageToken') ?? 0);
      const rows = [...this.machines.values()];
      const next = from + pageSize;
      send(response, 200, {
        machines: rows.slice(from, next).map(({ name, state, runner }) => ({
          machine: name,
          pool: runner.options.service,
          state,
          zone: runner.options.zone,
          labels: [runner.options.kind, runner.options.rack],
          capacity: runner.options.capacity,
          ...(state === 'up' ? { id: runner.id } : {}),
        })),
        ...(next < rows.length ? { nextToken: String(next) } : {}),
      });
      return;
    }
    if (request.method === 'POST' && url.pathname === '/machine-upkeep') {
      const [status, reason] = this.beginUpkeep(body, Number(request.headers['x-fencing-token']));
      this.record(
        `${request.headers['x-lease-holder']} calls for the upkeep of ${body.machine}: ${status} ${reason ?? ''}`,
      );
      send(response, status, reason === undefined ? {} : { reason });
      return;
    }
    send(response, 404, {});
  }

  beginUpkeep({ machine: name, wave }, token) {
    const machine = this.machines.get(name);
    if (machine === undefined) {
      return [400];
    }
    if (token < machine.token) {
      return [409, 'fence'];
    }
    machine.token = token;
    if (machine.done.has(wave)) {
      return [200];
    }
    if (!this.store.get(`op/wave/${wave}`)?.machines.includes(name)) {
      return [409, 'wave'];
    }
    if (machine.state !== 'up') {
      return [409, 'busy'];
    }
    machine.done.add(wave);
    machine.state = 'upkeep';
    machine.runner.crash('upkeep');
    this.store.remove(`servers/${machine.runner.id}`);
    setTimeout(() => {
      machine.life += 1;
      this.options.createRunner(name, machine.life).then((runner) => {
        machine.runner = runner;
        machine.state = 'up';
      });
    }, this.options.maintenanceMs);
    return [200];
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
