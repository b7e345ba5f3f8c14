import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

import { readBody, sendJson } from './http.mjs';

const maxPageItems = 500;
const maxEntries = 32;
const expiryCheckMs = 25;

/** One instance's way to the store. */
class StoreView {
  mode = 'up';

  sockets = new Set();

  constructor(store, name) {
    this.store = store;
    this.name = name;
  }

  async listen(port = 0) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
  }

  /** Cuts the instance off from the store: connections end, and new ones are refused. */
  async refuse() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async restore() {
    await this.listen(this.port);
  }

  async serve(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    const closers = [];
    response.once('close', () => closers.forEach((closer) => closer()));
    this.store.execute(
      request.method,
      url,
      body === '' ? {} : JSON.parse(body),
      (status, content) => sendJson(response, status, content),
      (closer) => closers.push(closer),
    );
  }

  async close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/**
 * Stand-in for the platform's metadata store. Each instance gets a listener of its own, so that a
 * case can cut off one instance and leave the others connected.
 */
export class Store {
  items = new Map();

  history = [];

  revision = 1;

  compactedRevision = 0;

  leases = new Map();

  /** Registry entries of runners: key to the time at which they expire. */
  expiries = new Map();

  watchers = new Set();

  views = [];

  lastLease = 0;

  constructor(heartbeatMs) {
    this.entryTtlMs = heartbeatMs * 3;
    this.timer = setInterval(() => this.expire(), expiryCheckMs);
  }

  /** Opens a listener and returns it; `setMode` changes how it treats calls from then on. */
  async addView(name) {
    const view = new StoreView(this, name);
    await view.listen();
    this.views.push(view);
    return view;
  }

  /** Write of the operator or of a runner. */
  put(key, value) {
    this.revision += 1;
    this.apply(key, Buffer.from(value, 'utf8').toString('base64'), 0);
    this.notify();
  }

  putJson(key, value) {
    this.put(key, JSON.stringify(value));
  }

  getJson(key) {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  delete(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.history.push({ key, revision: this.revision, removed: true });
      this.notify();
    }
  }

  /** A runner's entry; it expires after three heartbeat intervals without another write. */
  heartbeat(id, entry) {
    this.expiries.set(`servers/${id}`, Date.now() + this.entryTtlMs);
    this.putJson(`servers/${id}`, entry);
  }

  removeRunner(id) {
    this.expiries.delete(`servers/${id}`);
    this.delete(`servers/${id}`);
  }

  expire() {
    const now = Date.now();
    this.expiries.forEach((at, key) => {
      if (at <= now) {
        this.expiries.delete(key);
        this.delete(key);
      }
    });
    this.leases.forEach(({ expiresAt }, id) => {
      if (expiresAt <= now) {
        this.endLease(id);
      }
    });
  }

  endLease(id) {
    const isKnown = this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.delete(key));
    return isKnown;
  }

  apply(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  notify() {
    [...this.watchers].forEach((watcher) => watcher());
  }

  /** Executes a call; `respond` takes a status and a body. */
  execute(method, url, body, respond, onClose) {
    const [, path, id] = url.pathname.split('/');
    const handlers = {
      'GET kv-key': () => this.readKey(url, respond),
      'GET kv-range': () => this.readRange(url, respond),
      'GET kv-watch': () => this.watch(url, respond, onClose),
      'POST kv-txn': () => this.commit(body, respond),
      'POST kv-lease': () => this.grant(body, respond),
      'POST kv-keep': () => this.keep(Number(id), respond),
      'DELETE kv-lease-end': () => respond(this.endLease(Number(id)) ? 200 : 404, {}),
    };
    const handler = handlers[`${method} ${path}`];
    if (handler === undefined) {
      respond(404, {});
    } else {
      handler();
    }
  }

  readKey(url, respond) {
    const item = this.items.get(url.searchParams.get('key') ?? '');
    respond(item === undefined ? 404 : 200, { ...item, storeRevision: this.revision });
  }

  readRange(url, respond) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    respond(200, {
      items: items.slice(0, maxPageItems),
      hasMore: items.length > maxPageItems,
      storeRevision: this.revision,
    });
  }

  watch(url, respond, onClose) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    if (after < this.compactedRevision) {
      respond(410, {});
      return;
    }
    const find = () =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    let timer;
    const check = (isDue = false) => {
      const events = find();
      if (isDue || events.length > 0) {
        clearTimeout(timer);
        this.watchers.delete(check);
        respond(200, { events, storeRevision: this.revision });
      }
    };
    timer = setTimeout(check, Number(url.searchParams.get('waitMs')), true);
    this.watchers.add(check);
    onClose(() => {
      clearTimeout(timer);
      this.watchers.delete(check);
    });
    check();
  }

  commit({ expect = [], writes = [], deletes = [] }, respond) {
    if (expect.length + writes.length + deletes.length > maxEntries) {
      respond(400, {});
      return;
    }
    if (writes.some(({ key }) => key.startsWith('op/') || key.startsWith('servers/'))) {
      respond(403, {});
      return;
    }
    const isMet = expect.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expect.map(({ key }) => this.items.get(key)).filter((item) => item);
      respond(412, { items });
      return;
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      respond(404, {});
      return;
    }
    this.revision += 1;
    writes.forEach(({ key, value, lease = 0 }) => this.apply(key, value, lease));
    deletes.forEach((key) => {
      if (this.items.delete(key)) {
        this.history.push({ key, revision: this.revision, removed: true });
      }
    });
    respond(200, { revision: this.revision });
    this.notify();
  }

  grant({ ttlMs }, respond) {
    this.lastLease += 1;
    this.leases.set(this.lastLease, { ttlMs, expiresAt: Date.now() + ttlMs });
    respond(200, { lease: this.lastLease, ttlMs });
  }

  keep(id, respond) {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      respond(404, {});
      return;
    }
    lease.expiresAt = Date.now() + lease.ttlMs;
    respond(200, { ttlMs: lease.ttlMs });
  }

  async close() {
    clearInterval(this.timer);
    await Promise.all(this.views.map((view) => view.close()));
  }
}
