import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

import { listen, readBody, send } from './store.mjs';

/** The service that says which runners may run a step; here, all may. */
export class Advice {
  /** @param times `decisionMs`, `periodMs` and `validityMs` of the queue */
  constructor(times, record) {
    this.times = times;
    this.record = record;
    this.tickets = new Map();
    this.isOpen = true;
    this.servers = [];
  }

  /** Opens another listener and returns its address. */
  listen(host) {
    const server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.servers.push(server);
    return listen(server, host);
  }

  async serve(request, response) {
    const { step, workers } = await readBody(request);
    const { decisionMs, periodMs, validityMs } = this.times;
    setTimeout(
      () => {
        const good = workers.map((id) => {
          const ticket = `${step} ${id} ${this.tickets.size}`;
          this.tickets.set(ticket, { step, id, until: performance.now() + validityMs });
          return [id, ticket];
        });
        this.record(`advice on ${step}: ${workers.length} runners`);
        send(response, 200, { good, validityMs });
      },
      decisionMs + periodMs * workers.length,
    );
  }

  /** Whether a runner accepts the ticket for a task. */
  admits(id, task, ticket) {
    const known = this.tickets.get(ticket);
    return (
      known?.id === id &&
      known.step === task.slice(0, task.lastIndexOf('.')) &&
      performance.now() <= known.until
    );
  }

  /** Closes the first listener that is open. */
  closeOldest() {
    const server = this.servers.shift();
    server?.close();
    server?.closeAllConnections();
  }

  close() {
    while (this.servers.length > 0) {
      this.closeOldest();
    }
  }
}
