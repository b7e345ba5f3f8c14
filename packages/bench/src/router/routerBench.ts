import { install } from '@sinonjs/fake-timers';

import { formatTable } from '../formatTable.js';
import { writeResult } from '../writeResult.js';
import type { Condition, RouterFigures } from './RequestRecorder.js';
import { lengthMs, RequestRecorder } from './RequestRecorder.js';
import type { RouterModel } from './routerModels.js';
import { PlainChoice, PlainRouter, ProductRouter } from './routerModels.js';
import {
  capacityPerSecond,
  createArrivals,
  endpointCount,
  instanceCount,
  slotsPerEndpoint,
  streams,
} from './RouterScenario.js';
import { SlotEndpoint } from './SlotEndpoint.js';
import { SlotWay } from './SlotWays.js';

const conditions: readonly Condition[] = [
  { load: 0.5, skew: 1 },
  { load: 1, skew: 1 },
  { load: 2, skew: 1 },
  { load: 3, skew: 1 },
  { load: 0.7, skew: 4 },
];
const drainMs = 6_000;
const digestMs = 1_000;
const seed = 31;

interface Setting {
  readonly policy: string;
  readonly create: (
    index: number,
    members: readonly string[],
    endpoints: readonly SlotEndpoint[],
    clock: { monotonic(): number; wall(): number },
  ) => RouterModel;
}

const plainConcurrency = Math.ceil((endpointCount * slotsPerEndpoint) / instanceCount);

function product(way: SlotWay): Setting {
  return {
    policy: way === SlotWay.product ? 'apricothoist' : way,
    create: (index, members, endpoints, clock) =>
      new ProductRouter(members[index] ?? '', members, endpoints, way, clock, seed + index),
  };
}

function plain(choice: PlainChoice): Setting {
  return {
    policy: `FIFO ${choice}`,
    create: (index, _, endpoints, clock) =>
      new PlainRouter(choice, plainConcurrency, endpoints, clock, seed + index),
  };
}

const settings: readonly Setting[] = [
  plain(PlainChoice.random),
  plain(PlainChoice.roundRobin),
  product(SlotWay.staticShares),
  product(SlotWay.twoChoices),
  product(SlotWay.random),
  product(SlotWay.product),
];

/** Runs every policy at every load in virtual time and prints the comparison. */
export async function runRouterBench(print: (text: string) => void): Promise<void> {
  const results: RouterFigures[] = [];
  for (const condition of conditions) {
    const figures: RouterFigures[] = [];
    for (const setting of settings) {
      figures.push(await measure(setting, condition));
    }
    results.push(...figures);
    print(describeCondition(condition, figures));
  }
  print(`written to ${writeResult('router', { capacityPerSecond, results })}`);
}

async function measure(setting: Setting, condition: Condition): Promise<RouterFigures> {
  const timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });
  const clock = { monotonic: () => timers.now, wall: () => timers.now };
  const endpoints = Array.from(
    { length: endpointCount },
    (_, index) => new SlotEndpoint(`endpoint-${index}`, slotsPerEndpoint),
  );
  const members = Array.from({ length: instanceCount }, (_, index) => `instance-${index}`);
  const models = members.map((_, index) => setting.create(index, members, endpoints, clock));
  const record = new RequestRecorder(condition);
  const digests = setInterval(() => exchangeLoads(models, endpoints), digestMs);
  const start = timers.now;
  createArrivals(condition.load, lengthMs, condition.skew, seed).forEach((arrival, index) => {
    setTimeout(() => {
      const { stream } = arrival;
      const arrivedAt = timers.now;
      const ticket = {
        id: `request-${index}`,
        account: stream.account,
        service: 'service',
        urgency: stream.urgency,
        isIdempotent: true,
        arrivedAt,
        deadline: arrivedAt + stream.deadlineMs,
        isForwarded: false,
      };
      void models[arrival.instance]?.handle(arrival, ticket).then((isAnswered) => {
        record.add(stream, arrivedAt - start, timers.now - start, isAnswered);
      });
    }, arrival.at);
  });
  while (timers.now < start + lengthMs + drainMs) {
    timers.next();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  clearInterval(digests);
  timers.uninstall();
  const refusals = endpoints.reduce((sum, endpoint) => sum + endpoint.refusals, 0);
  return record.figures(setting.policy, refusals);
}

// What digests on the mesh do once a second.
function exchangeLoads(models: readonly RouterModel[], endpoints: readonly SlotEndpoint[]): void {
  models.forEach((model) => {
    const loadsOfPeers = new Map(
      endpoints.map(({ id }) => [
        id,
        models
          .filter((other) => other !== model)
          .reduce((sum, other) => sum + other.inFlightAt(id), 0),
      ]),
    );
    model.setPeerLoads(loadsOfPeers);
  });
}

function describeCondition({ load, skew }: Condition, figures: readonly RouterFigures[]): string {
  const header = [
    'policy',
    'goodput',
    'answered',
    'urgent answered',
    'urgent p50 ms',
    'p99 ms',
    'batch max ms',
    'extra sends',
    'late refusals',
    ...streams.map((stream) => stream.account),
  ];
  const rows = figures.map((row) => [
    row.policy,
    row.goodput.toFixed(3),
    row.answeredShare.toFixed(3),
    row.urgentAnswered.toFixed(3),
    row.urgentP50Ms.toFixed(0),
    row.urgentP99Ms.toFixed(0),
    row.batchMaxMs.toFixed(0),
    row.extraSends.toFixed(3),
    String(row.lateRefusals),
    ...streams.map((stream) => (row.shares[stream.account] ?? 0).toFixed(3)),
  ]);
  return `\n## Load ${load}x${skew === 1 ? '' : `, one instance gets ${skew} times its share`}\n\n${formatTable(header, rows)}`;
}
