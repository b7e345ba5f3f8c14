import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

import { listen, readBody, send } from './store.mjs';

const maxWaitMs = 2_000;
const maxListedEnds = 500;
const tickMs = 10;
const fullPercent = 100;

const fits = (used, capacity) =>
  used.cpu <= capacity.cpu && used.memMb <= capacity.memMb && used.gpus <= capacity.gpus;

function percentOf({ work, startedAt }) {
  const share = (performance.now() - startedAt) / Math.max(1, work.ms ?? work.startupMs ?? 0);
  return Math.min(fullPercent, Math.floor(share * fullPercent));
}

/** Members of gangs that have started, by step and run; shared by all runners. */
const gangs = new Map();

const gangOf = ({ task, run }) => `${task.slice(0, task.lastIndexOf('.'))}#${run}`;

function joinGang(entry) {
  if (entry.work.gang === undefined) {
    entry.worksFrom = entry.startedAt;
    return;
  }
  const members = [...(gangs.get(gangOf(entry)) ?? []), entry];
  gangs.set(gangOf(entry), members);
  if (members.length === entry.work.gang) {
    members.forEach((member) => {
      member.worksFrom = performance.now();
    });
  }
}

/**
 * A runner as PROTOCOL.md describes it: leases on its own clock, fencing tokens, numbered ends and
 * an admission check. A task's work stands in its specification: `ms` until it is done, or
 * `startupMs` until a task that lasts is at work; `cpu`, `memMb` and `gpus` are what it takes. A
 * stop takes `stopMs`. A task of a `gang` of this many members works from the time at which all of
 * them have started. `failsMs` is the time after which a first run ends `failed` by its own fault,
 * in a gang that of each member. Where the page is silent, a start whose own deadline has passed is late.
 */
export class Runner {
  constructor(options, store, record) {
    this.options = options;
    this.store = store;
    this.record = record;
    this.seq = 0;
    this.isDraining = false;
    this.runs = [];
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens, and begins the first life. */
  async start(host) {
    this.address = await listen(this.server, host);
    this.begin();
  }

  get id() {
    return this.options.id;
  }

  /** Begins a life: nothing runs, and no fencing token was seen. */
  begin() {
    this.isUp = true;
    this.isDraining = false;
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1);
    this.clockStart = performance.now() - 1_000;
    this.token = 0;
    this.leaseUntil = 0;
    this.running = new Map();
    this.ended = [];
    this.lastEnd = 0;
    this.endedRuns = new Map();
    this.waiters = new Set();
    this.tick = setInterval(() => this.checkTasks(), tickMs);
    this.heartbeat = setInterval(() => this.register(), this.options.heartbeatMs);
    this.register();
    this.record(`${this.id} is up, born ${this.born}`);
  }

  /** Ends the life without a word; connections break. */
  crash(reason = 'crashed') {
    if (!this.isUp) {
      return;
    }
    this.isUp = false;
    clearInterval(this.tick);
    clearInterval(this.heartbeat);
    [...this.running.values()].forEach((entry) => this.close(entry, reason));
    this.running.clear();
    this.waiters.clear();
    this.record(`${this.id} ${reason}`);
    this.server.closeAllConnections();
  }

  /** Reports that the runner drains for `remainingMs` at least. */
  drain(remainingMs) {
    this.isDraining = true;
    this.leavesAt = performance.now() + remainingMs;
    this.register();
    this.record(`${this.id} drains, ${remainingMs} ms remain`);
  }

  /** Leaves for good after a drain. */
  leave() {
    this.crash('left');
    this.store.remove(`servers/${this.id}`);
  }

  /** Cuts the runner off from all others, or ends that; it runs on. */
  cut(isCut) {
    this.isCut = isCut;
    this.record(`${this.id} is ${isCut ? 'cut off' : 'reached again'}`);
  }

  register() {
    if (this.isCut) {
      return;
    }
    this.seq += 1;
    const { id, service, zone, kind, rack, capacity } = this.options;
    this.store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version: '1',
      slots: 8,
      state: this.isDraining ? 'draining' : 'ready',
      coldRemainingMs: 0,
      seq: this.seq,
      born: this.born,
      capacity,
      labels: [kind, rack],
      ...(this.isDraining
        ? { remainingMs: Math.max(0, Math.round(this.leavesAt - performance.now())) }
        : {}),
    });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.clockStart);
  }

  get used() {
    const sum = { cpu: 0, memMb: 0, gpus: 0 };
    this.running.forEach(({ work }) => {
      sum.cpu += work.cpu ?? 0;
      sum.memMb += work.memMb ?? 0;
      sum.gpus += work.gpus ?? 0;
    });
    return sum;
  }

  async serve(request, response) {
    const body = await readBody(request);
    if (!this.isUp) {
      response.destroy();
      return;
    }
    if (this.isCut) {
      return;
    }
    const respond = (status, content = {}) =>
      send(response, status, { ...content, clockMs: this.clockMs, born: this.born });
    if (request.headers['x-expect-instance'] !== this.id) {
      respond(421);
      return;
    }
    const handlers = {
      '/run-start': () => this.startRun(body, respond),
      '/run-stop': () => this.stopRun(body, respond),
      '/hold': () => this.hold(body, respond),
    };
    const handler = handlers[request.url];
    if (handler === undefined) {
      send(response, 404, {});
      return;
    }
    this.checkTasks();
    if ((body.fencingToken ?? 0) < this.token) {
      respond(409, { reason: 'fence' });
      return;
    }
    this.token = body.fencingToken ?? 0;
    handler();
  }

  extend(deadlineMs = 0) {
    const latest = this.clockMs + this.options.maxHoldMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, latest));
  }

  startRun({ task, run, spec, deadlineMs = 0, ticket }, respond) {
    this.extend(deadlineMs);
    const key = `${task}#${run}`;
    if (this.running.has(key)) {
      respond(200);
      return;
    }
    const work = JSON.parse(spec);
    const isAdmitted = this.options.advice?.admits(this.id, task, ticket) ?? true;
    const refusal = isAdmitted ? this.findRefusal(task, run, work, deadlineMs) : 'ticket';
    if (refusal !== undefined) {
      this.record(`${this.id} rejects the start of ${task} run ${run}: ${refusal}`);
      respond(409, { reason: refusal });
      return;
    }
    const entry = { task, run, work, runner: this.id, startedAt: performance.now(), endedAt: 0 };
    this.runs.push(entry);
    this.running.set(key, entry);
    this.record(`${this.id} starts ${task} run ${run}`);
    joinGang(entry);
    respond(200);
  }

  /** How a task ends now by itself; undefined if it goes on. */
  findEnd({ run, work, startedAt, worksFrom = Infinity, isBroken, stopsAt = Infinity }) {
    const now = performance.now();
    const { gangTimeoutMs = Infinity } = this.options;
    const ends = [
      [stopsAt, 'stopped'],
      [run === 1 ? worksFrom + (work.failsMs ?? Infinity) : Infinity, 'failed'],
      [worksFrom + (work.ms ?? Infinity), 'done'],
      [isBroken ? 0 : Infinity, 'broken'],
      [worksFrom === Infinity ? startedAt + gangTimeoutMs : Infinity, 'alone'],
    ];
    return ends.find(([at]) => now >= at)?.[1];
  }

  findRefusal(task, run, work, deadlineMs) {
    if (run <= (this.endedRuns.get(task) ?? 0)) {
      return 'old';
    }
    if (deadlineMs <= this.clockMs) {
      return 'late';
    }
    const { cpu = 0, memMb = 0, gpus = 0 } = work;
    const { used } = this;
    const after = { cpu: used.cpu + cpu, memMb: used.memMb + memMb, gpus: used.gpus + gpus };
    return fits(after, this.options.capacity) ? undefined : 'room';
  }

  stopRun({ task, run }, respond) {
    const entry = this.running.get(`${task}#${run}`);
    if (entry !== undefined && entry.stopsAt === undefined) {
      entry.stopsAt = performance.now() + this.options.stopMs;
      this.record(`${this.id} is told to stop ${task} run ${run}`);
    }
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
    respond(200);
  }

  hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, respond) {
    this.extend(deadlineMs);
    this.ended = this.ended.filter(([number]) => number > ackCursor);
    const answer = () => {
      clearTimeout(answer.timer);
      this.waiters.delete(answer);
      if (this.isUp && !this.isCut) {
        respond(200, this.lists);
      }
    };
    answer.timer = setTimeout(answer, Math.min(maxWaitMs, waitMs));
    this.waiters.add(answer);
    if (this.ended.length > 0) {
      answer();
    }
  }

  get lists() {
    const running = [...this.running.values()].map((entry) => [
      entry.task,
      entry.run,
      '',
      percentOf(entry),
      entry.work.cpu ?? 0,
    ]);
    return { running, ended: this.ended.slice(0, maxListedEnds) };
  }

  checkTasks() {
    const hasLapsed = this.clockMs > this.leaseUntil;
    [...this.running.values()].forEach((entry) => {
      const how = hasLapsed ? 'lapsed' : this.findEnd(entry);
      if (how !== undefined) {
        this.end(entry, how);
      }
    });
  }

  /** Ends a task by its own fault. */
  fail(task) {
    [...this.running.values()]
      .filter((entry) => entry.task === task)
      .forEach((entry) => this.end(entry, 'failed'));
  }

  end(entry, how) {
    const { task, run } = entry;
    this.running.delete(`${task}#${run}`);
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
    this.close(entry, how);
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, task, run, how, '']);
    [...this.waiters].forEach((answer) => answer());
  }

  close(entry, how) {
    entry.endedAt = performance.now();
    entry.how = how;
    const members = gangs.get(gangOf(entry)) ?? [];
    members
      .filter((member) => how !== 'done' && member.endedAt === 0)
      .forEach((member) => {
        member.isBroken = true;
      });
    this.record(`${this.id} ends ${entry.task} run ${entry.run}: ${how}`);
  }

  stop() {
    clearInterval(this.tick);
    clearInterval(this.heartbeat);
    this.server.close();
    this.server.closeAllConnections();
  }
}
