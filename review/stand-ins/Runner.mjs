import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

import { readBody, sendJson } from './http.mjs';

const maxListedEnds = 500;
const leaseCheckMs = 10;
const maxWaitMs = 2_000;
const fullPercent = 100;

/** Saved progress of a run: a new value with each `checkpointMs` of work and at a stop. */
function savedOf(each, isFinal = false) {
  const { work, observed, doneMs } = each;
  if (work.checkpointMs === undefined) {
    return '';
  }
  const workedMs = doneMs + Date.now() - observed.startedAt;
  const savedMs = isFinal ? workedMs : workedMs - (workedMs % work.checkpointMs);
  each.savedMs = Math.max(each.savedMs, savedMs);
  return each.savedMs === 0 ? '' : `${observed.task}@${each.savedMs}`;
}

/** Whole percent of the work that is done; a task that lasts is at work at 100. */
function percentOf({ work, observed, doneMs }) {
  if (work.durationMs === undefined) {
    return fullPercent;
  }
  const workedMs = doneMs + Date.now() - observed.startedAt;
  return Math.min(fullPercent, Math.floor((workedMs / work.durationMs) * fullPercent));
}

/**
 * Stand-in for a runner. The `spec` of a task is JSON: `durationMs`, and `checkpointMs` if the task
 * checkpoints its progress. A task without `durationMs` runs until it is stopped.
 */
export class Runner {
  /** Runs of all lives: runner, born, task, run, startedAt, endedAt, how. */
  observed = [];

  state = 'ready';

  isUp = false;

  hasRegistry = true;

  seq = 0;

  port = 0;

  /** @param options id, service, zone, labels, capacity, bounds, store, heartbeatMs, record */
  constructor(options) {
    Object.assign(this, options);
  }

  /** Starts a new life: it holds and knows nothing of before. */
  async start() {
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1);
    this.clockOrigin = performance.now() - 10;
    this.running = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.highestToken = 0;
    this.leaseUntil = 0;
    this.endedRuns = new Map();
    this.waiting = new Set();
    this.state = 'ready';
    this.isUp = true;
    await this.openListener();
    this.leaseTimer = setInterval(() => this.checkLease(), leaseCheckMs);
    this.beat();
    this.record(`${this.id} is up, born ${this.born}`);
  }

  async openListener() {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.clockOrigin);
  }

  /** Writes the registry entry now and from then on every heartbeat. */
  beat() {
    clearTimeout(this.beatTimer);
    this.beatTimer = setTimeout(() => this.beat(), this.heartbeatMs);
    if (!this.hasRegistry) {
      return;
    }
    this.seq += 1;
    this.store.heartbeat(this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      seq: this.seq,
      labels: this.labels,
      capacity: this.capacity,
      machine: `machine-of-${this.id}`,
      born: this.born,
      ...(this.state === 'draining' ? { remainingMs: this.bounds.drainMs } : {}),
    });
  }

  drain() {
    this.record(`${this.id} drains`);
    this.state = 'draining';
    this.beat();
  }

  /** Ends this life at once: everything that runs here terminates. */
  crash(how = 'crashed') {
    if (!this.isUp) {
      return;
    }
    this.isUp = false;
    clearInterval(this.leaseTimer);
    clearTimeout(this.beatTimer);
    this.waiting.clear();
    this.running.forEach((each) => {
      clearTimeout(each.timer);
      this.recordEnd(each.observed, how);
    });
    this.running.clear();
    this.server.close();
    this.server.closeAllConnections();
    this.record(`${this.id} is down`);
  }

  /** Leaves after a drain: the entry is removed. */
  leave() {
    this.crash('left');
    this.store.removeRunner(this.id);
  }

  /** Refuses new connections; those that are open stay. */
  refuseNewConnections() {
    this.server.close();
  }

  recordEnd(observed, how) {
    observed.endedAt = Date.now();
    observed.how = how;
    this.record(`${this.id} ended ${observed.task} run ${observed.run}: ${how}`);
  }

  async serve(request, response) {
    const text = await readBody(request);
    const body = text === '' ? {} : JSON.parse(text);
    const { born } = this;
    const respond = (status, content) =>
      sendJson(response, status, { clockMs: this.clockMs, born, ...content });
    if (!this.isUp) {
      response.destroy();
      return;
    }
    if (request.headers['x-expect-instance'] !== this.id) {
      respond(421, {});
      return;
    }
    const handlers = {
      '/run-start': () => this.startRun(body, respond),
      '/run-stop': () => this.stopRun(body, respond),
      '/hold': () => this.hold(body, respond),
    };
    const handler = handlers[request.url];
    if (handler === undefined) {
      respond(404, {});
      return;
    }
    const token = body.fencingToken ?? 0;
    if (token < this.highestToken) {
      this.record(`${this.id} refused ${request.url} with token ${token}: fence`);
      respond(409, { reason: 'fence' });
      return;
    }
    this.highestToken = token;
    handler();
  }

  extendLease(deadlineMs = 0) {
    const latest = this.clockMs + this.bounds.maxHoldMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, latest));
  }

  startRun({ task, run, spec = '{}', deadlineMs = 0, saved = '', fencingToken }, respond) {
    this.checkLease();
    const key = `${task}#${run}`;
    if (this.running.has(key)) {
      this.extendLease(deadlineMs);
      respond(200, {});
      return;
    }
    const work = JSON.parse(spec);
    const reason = this.findRefusal({ task, run, deadlineMs, work });
    if (reason !== 'late') {
      this.extendLease(deadlineMs);
    }
    if (reason !== undefined) {
      this.record(`${this.id} refused start of ${task} run ${run}: ${reason}`);
      respond(409, { reason });
      return;
    }
    const observed = {
      runner: this.id,
      born: this.born,
      task,
      run,
      startedAt: Date.now(),
      endedAt: undefined,
      how: undefined,
    };
    this.observed.push(observed);
    this.record(`${this.id} started ${task} run ${run}, token ${fencingToken}`);
    const doneMs = Number(saved.split('@')[1] ?? 0);
    const each = { observed, work, doneMs, savedMs: doneMs, isStopping: false };
    if (work.durationMs !== undefined) {
      each.timer = setTimeout(() => this.endRun(key, 'done'), work.durationMs - doneMs);
    }
    this.running.set(key, each);
    respond(200, {});
  }

  findRefusal({ task, run, deadlineMs, work }) {
    if (run <= (this.endedRuns.get(task) ?? 0)) {
      return 'old';
    }
    if (deadlineMs <= this.clockMs) {
      return 'late';
    }
    const used = [...this.running.values()].reduce((sum, each) => sum + (each.work.gpus ?? 1), 0);
    return used + (work.gpus ?? 1) > this.capacity.gpus ? 'room' : undefined;
  }

  stopRun({ task, run }, respond) {
    const key = `${task}#${run}`;
    const each = this.running.get(key);
    if (each !== undefined && !each.isStopping) {
      each.isStopping = true;
      clearTimeout(each.timer);
      this.record(`${this.id} was told to stop ${task} run ${run}`);
      each.timer = setTimeout(() => this.endRun(key, 'stopped'), this.bounds.stopMs / 4);
    }
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
    respond(200, {});
  }

  hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, respond) {
    this.extendLease(deadlineMs);
    this.checkLease();
    this.ends = this.ends.filter(({ number }) => number > ackCursor);
    let timer;
    const answer = () => {
      clearTimeout(timer);
      this.waiting.delete(answer);
      if (this.isUp) {
        respond(200, this.describeRuns());
      }
    };
    timer = setTimeout(answer, Math.min(maxWaitMs, waitMs));
    this.waiting.add(answer);
    if (this.ends.length > 0 || waitMs === 0) {
      answer();
    }
  }

  describeRuns() {
    return {
      running: [...this.running.values()].map((each) => [
        each.observed.task,
        each.observed.run,
        savedOf(each),
        percentOf(each),
        0,
      ]),
      ended: this.ends
        .slice(0, maxListedEnds)
        .map(({ number, observed, how, saved }) => [
          number,
          observed.task,
          observed.run,
          how,
          saved,
        ]),
    };
  }

  endRun(key, how) {
    const each = this.running.get(key);
    if (each === undefined) {
      return;
    }
    clearTimeout(each.timer);
    this.running.delete(key);
    const { observed } = each;
    const saved = savedOf(each, how === 'stopped');
    this.endedRuns.set(
      observed.task,
      Math.max(observed.run, this.endedRuns.get(observed.task) ?? 0),
    );
    this.recordEnd(observed, how);
    this.lastEnd += 1;
    this.ends.push({ number: this.lastEnd, observed, how, saved });
    [...this.waiting].forEach((answer) => answer());
  }

  checkLease() {
    if (this.running.size > 0 && this.clockMs > this.leaseUntil) {
      [...this.running.keys()].forEach((key) => this.endRun(key, 'lapsed'));
    }
  }
}
