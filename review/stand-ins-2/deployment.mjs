import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

import { Runner } from './runner.mjs';
import { listen, Store } from './store.mjs';

/** Exit codes of a case; others, such as that of an uncaught error, mean that it did not run. */
export const Verdict = { held: 10, broken: 11, notRun: 12 };

const root = fileURLToPath(new URL('../..', import.meta.url));
const host = 'nony24.example';
const caseLimitMs = 115_000;
const startLimitMs = 30_000;

export const delay = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Whether the case is run with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Command line of the role in the deploy file. */
function runCommand() {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

async function findFreePort(address) {
  const server = createServer();
  const bound = await listen(server, address);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return Number(bound.split(':')[1]);
}

function writeSettings({ file, fields }) {
  const lines = Object.entries(fields).map(([key, value]) => `${key}=${value}\n`);
  writeFileSync(file, lines.join(''));
}

export async function waitUntil(what, isTrue, limitMs = startLimitMs) {
  const deadline = performance.now() + limitMs;
  while (!(await isTrue())) {
    if (performance.now() > deadline) {
      throw new Error(`not seen within ${limitMs} ms: ${what}`);
    }
    await delay(20);
  }
}

async function waitUntilReady(instance) {
  const isReady = () =>
    new Promise((resolve) => {
      const { ip, ready } = instance;
      const probe = httpRequest({ host: ip, port: ready, path: '/ready', agent: false });
      probe.on('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      probe.on('error', () => resolve(false));
      probe.end();
    });
  await waitUntil(`${instance.name} is ready`, isReady);
}

/** Instances of the system as processes, with stand-ins for the platform, runners and clients. */
export class Deployment {
  constructor() {
    this.startedAt = performance.now();
    this.lines = [];
    this.runners = [];
    this.instances = [];
    this.store = new Store();
    this.directory = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    process.once('exit', () => this.killAll());
  }

  get nowMs() {
    return Math.round(performance.now() - this.startedAt);
  }

  record(text) {
    this.lines.push(`${String(this.nowMs).padStart(7)} ${text}`);
  }

  /**
   * @param options `bounds` and `settings` extend the settings; `config` is the operator's
   */
  async start({ instances, runners, config, bounds = {}, settings = {} }) {
    this.storeAddress = await this.store.listen(`${this.subnet}.1`);
    this.store.put('op/config', config);
    this.bounds = {
      contactMs: 3000,
      ackMs: 4000,
      drainMs: 2000,
      graceS: 6,
      configApplyMs: 2000,
      strictRevoke: true,
      revokeMs: 5000,
      maxHoldMs: 6000,
      stopMs: 900,
      gangTimeoutMs: 3000,
      cancel_ms: 3000,
      visible_ms: 3000,
      finish_s: 14,
      noticeMs: 4500,
      migrateS: 1.5,
      maintenanceS: 2,
      requireFencing: true,
      leaseMs: 3000,
      reclaimMs: 3400,
      ...bounds,
    };
    for (const options of runners) {
      await this.addRunner(options);
    }
    for (let index = 0; index < instances; index += 1) {
      await this.addInstance(index, settings);
    }
    await waitUntil('an instance schedules', () => this.store.items.has('holder'));
    await Promise.all(this.instances.map((instance) => waitUntilReady(instance)));
    // Every runner has been asked by the present holder.
    await waitUntil('runners are known', () => this.runners.every(({ token }) => token > 0));
  }

  async addRunner(options) {
    const runner = new Runner(
      {
        heartbeatMs: 1500,
        maxHoldMs: this.bounds.maxHoldMs,
        gangTimeoutMs: this.bounds.gangTimeoutMs,
        ...options,
      },
      this.store,
      (text) => this.record(text),
    );
    this.runners.push(runner);
    await runner.start(`${this.subnet}.2`);
    return runner;
  }

  async addInstance(index, settings) {
    const ip = `${this.subnet}.${10 + index}`;
    const name = `front-${index}`;
    const [front, ready, control, internal] = await Promise.all(
      [0, 1, 2, 3].map(() => findFreePort(ip)),
    );
    const zone = `zone-${index % 2}`;
    const fields = {
      node: name,
      role: 'entry',
      machineClass: 'front',
      serves: 'front',
      ip,
      zone,
      region: 'harju',
      'zones.zone-0': 'harju',
      'zones.zone-1': 'harju',
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'listen.control': `${ip}:${control}`,
      internalPorts: `${internal},${internal + 15}`,
      bootstrap: true,
      'limits.cpuShare': 0.675,
      'limits.cores': 1,
      'limits.memoryMb': 350,
      'limits.maxFds': 4100,
      'limits.linkMbps': 1000,
      discovery: 'platform',
      heartbeatMs: 1500,
      orders: 'call',
      'platform.address': this.storeAddress,
      'platform.form': 'kv',
      ...Object.fromEntries(
        Object.entries(this.bounds).map(([key, value]) => [`bounds.${key}`, value]),
      ),
      ...settings,
    };
    const file = path.join(this.directory, `${name}.conf`);
    const instance = { name, ip, front, ready, file, fields };
    writeSettings(instance);
    this.instances.push(instance);
    this.launch(instance);
  }

  /** Starts the process of an instance with the command of the deploy file. */
  launch(instance) {
    const [program, ...args] = runCommand();
    const { PATH, HOME } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env: { PATH, HOME, APRICOTHOIST_NODE_FILE: instance.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    instance.log ??= [];
    child.stdout.on('data', (chunk) => instance.log.push(chunk.toString('utf8')));
    child.stderr.on('data', (chunk) => instance.log.push(chunk.toString('utf8')));
    child.once('exit', (code, signal) => {
      instance.exit = { code, signal };
      this.record(`${instance.name} ended with ${code ?? signal}`);
    });
    instance.child = child;
    instance.exit = undefined;
    this.record(`${instance.name} started`);
  }

  /** Changes the settings file of an instance, as the platform does. */
  changeSettings(instance, changes) {
    Object.assign(instance.fields, changes);
    writeSettings(instance);
    this.record(`settings of ${instance.name} change: ${JSON.stringify(changes)}`);
  }

  /** The instance that holds the leadership according to the store. */
  get holder() {
    const record = this.store.get('holder');
    return this.instances.find(({ name }) => name === record?.instance);
  }

  /** Sends one request of a client; the status is 0 if there is no response. */
  async call(instance, method, target, key, body) {
    const sentAt = this.nowMs;
    const reply = await new Promise((resolve) => {
      const outgoing = httpRequest({
        host: instance.ip,
        port: instance.front,
        method,
        path: target,
        agent: false,
        timeout: 3_500,
        headers: {
          host,
          'content-type': 'application/json',
          authorization: `Token ${key}`,
          'x-deadline-ms': '3000',
        },
      });
      const fail = () => resolve({ status: 0, body: {} });
      outgoing.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ status: response.statusCode, body: text === '' ? {} : JSON.parse(text) });
        });
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', fail);
      outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
    this.record(
      `client sent at ${sentAt} ${method} ${target}: ${reply.status} ${JSON.stringify(reply.body)}`,
    );
    return { ...reply, sentAt, answeredAt: this.nowMs };
  }

  /** Submits a job of one step; the work of its tasks is told to the runners by the specification. */
  submit(instance, prefix, id, key, work, phase) {
    const { cpu, memMb, gpus } = { cpu: 0, memMb: 0, gpus: 0, ...phase };
    const spec = JSON.stringify({ ...work, cpu, memMb, gpus });
    const kept = Object.fromEntries(Object.entries(phase).filter(([, value]) => value));
    return this.call(instance, 'POST', `${prefix}${id}`, key, { spec, phases: [kept] });
  }

  /** Runs of a task on all runners, in the order of their starts. */
  runsOf(task) {
    return this.runners
      .flatMap(({ runs }) => runs)
      .filter((run) => run.task === task)
      .sort((left, right) => left.startedAt - right.startedAt);
  }

  /** Milliseconds since the start of the case. */
  sinceStart(time) {
    return Math.round(time - this.startedAt);
  }

  killAll() {
    this.instances.forEach(({ child }) => child?.kill('SIGKILL'));
    rmSync(this.directory, { recursive: true, force: true });
  }

  close() {
    this.killAll();
    this.runners.forEach((runner) => runner.stop());
    this.store.close();
  }
}

/** Configuration with one service; each route has a name, a prefix and a priority. */
export function createConfig({ service = 'lohnaabi', routes, tenants }) {
  return {
    version: 3,
    routes: routes.map((route) => ({
      host,
      service,
      kind: 'non_idempotent',
      timeoutMs: 3000,
      targetLatencyMs: 1000,
      maxAttempts: 3,
      stretch: 3,
      public: false,
      ...route,
    })),
    services: [{ name: service, admissionCheck: true }],
    tenants,
    limits: { maxBodyBytes: 262_144 },
  };
}

/** Runs a case, writes its record beside it, and exits with its verdict. */
export async function runCase(caseUrl, play) {
  const deployment = new Deployment();
  let verdict = Verdict.notRun;
  let limit;
  function finish() {
    clearTimeout(limit);
    const names = Object.keys(Verdict);
    deployment.record(`verdict: ${names.find((name) => Verdict[name] === verdict)}`);
    deployment.close();
    const file = fileURLToPath(new URL('record.txt', caseUrl));
    const header = `TROUBLE=${hasTrouble ? 1 : 0}; milliseconds since the start of the case\n`;
    writeFileSync(file, `${header}${deployment.lines.join('\n')}\n`);
    process.stdout.write(`${deployment.lines.at(-1).trim()}\n`);
    if (process.env.LOGS) {
      const logs = deployment.instances.map(({ name, log }) => `== ${name}\n${log.join('')}`);
      writeFileSync(process.env.LOGS, logs.join('\n'));
    }
    process.exit(verdict);
  }
  limit = setTimeout(() => {
    deployment.record('the case took too long');
    finish();
  }, caseLimitMs);
  const abort = (reason) => {
    verdict = Verdict.notRun;
    deployment.record(`not run: ${reason}`);
    finish();
  };
  process.once('uncaughtException', (error) => abort(error.stack));
  process.once('SIGINT', () => abort('interrupted'));
  process.once('SIGTERM', () => abort('terminated'));
  try {
    verdict = await play(deployment);
  } catch (error) {
    deployment.record(`not run: ${error.message}`);
  }
  finish();
}
