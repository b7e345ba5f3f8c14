import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Largest number of items of a page, and of entries of a transaction. */
const maxPageItems = 500;
const maxTransactionEntries = 32;
const leaseCheckMs = 20;

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export function send(response, status, body) {
  if (!response.destroyed) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }
}

export function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

/** The platform's metadata store, as PROTOCOL.md describes it; without faults and rate limits. */
export class Store {
  constructor() {
    this.revision = 1;
    this.nextLease = 1;
    this.items = new Map();
    this.history = [];
    this.leases = new Map();
    this.watchers = new Set();
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.timer = setInterval(() => this.expire(), leaseCheckMs);
  }

  listen(host) {
    return listen(this.server, host);
  }

  /** Writes as the operator or a runner does. */
  put(key, value) {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0, this.revision + 1);
    this.notify();
  }

  /** Removes a key as the platform does. */
  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.history.push({ key, revision: this.revision, removed: true });
      this.notify();
    }
  }

  /** Value of a key, decoded from JSON; undefined if it is absent. */
  get(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const [, name, id] = url.pathname.split('/');
    const handlers = {
      'kv-key': () => this.read(url, response),
      'kv-range': () => this.list(url, response),
      'kv-watch': () => this.watch(url, response),
      'kv-txn': () => this.commit(body, response),
      'kv-lease': () => this.grant(body, response),
      'kv-keep': () => this.keep(Number(id), response),
      'kv-lease-end': () => this.end(Number(id), response),
    };
    (handlers[name] ?? (() => send(response, 404, {})))();
  }

  read(url, response) {
    const item = this.items.get(url.searchParams.get('key'));
    send(response, item ? 200 : 404, { ...item, storeRevision: this.revision });
  }

  list(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = found.slice(0, maxPageItems);
    const hasMore = found.length > items.length;
    send(response, 200, { items, hasMore, storeRevision: this.revision });
  }

  watch(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const events = () =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const watcher = { hasEvents: () => events().length > 0 };
    const timer = setTimeout(() => watcher.answer(), Number(url.searchParams.get('waitMs')));
    watcher.answer = () => {
      clearTimeout(timer);
      this.watchers.delete(watcher);
      send(response, 200, { events: events(), storeRevision: this.revision });
    };
    this.watchers.add(watcher);
    response.once('close', () => {
      clearTimeout(timer);
      this.watchers.delete(watcher);
    });
    if (watcher.hasEvents()) {
      watcher.answer();
    }
  }

  commit({ expect = [], writes = [], deletes = [] }, response) {
    if (expect.length + writes.length + deletes.length > maxTransactionEntries) {
      send(response, 400, {});
      return;
    }
    const keys = [...writes.map(({ key }) => key), ...deletes];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      send(response, 403, {});
      return;
    }
    const isMet = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision;
    if (!expect.every(isMet)) {
      const items = expect.map(({ key }) => this.items.get(key)).filter(Boolean);
      send(response, 412, { items, storeRevision: this.revision });
      return;
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      send(response, 404, {});
      return;
    }
    const revision = this.revision + 1;
    writes.forEach(({ key, value, lease = 0 }) => this.write(key, value, lease, revision));
    this.revision = revision;
    deletes.forEach((key) => {
      if (this.items.delete(key)) {
        this.history.push({ key, revision, removed: true });
      }
    });
    this.notify();
    send(response, 200, { revision });
  }

  grant({ ttlMs }, response) {
    const lease = this.nextLease;
    this.nextLease += 1;
    this.leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    send(response, 200, { lease, ttlMs });
  }

  keep(id, response) {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      send(response, 404, {});
      return;
    }
    lease.endsAt = performance.now() + lease.ttlMs;
    send(response, 200, { lease: id, ttlMs: lease.ttlMs });
  }

  end(id, response) {
    send(response, this.leases.has(id) ? 200 : 404, {});
    this.removeLease(id);
  }

  removeLease(id) {
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.remove(key));
  }

  expire() {
    const now = performance.now();
    [...this.leases]
      .filter(([, { endsAt }]) => endsAt <= now)
      .forEach(([id]) => this.removeLease(id));
  }

  write(key, value, lease, revision) {
    this.revision = revision;
    const created = this.items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  notify() {
    [...this.watchers].filter((watcher) => watcher.hasEvents()).forEach(({ answer }) => answer());
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
