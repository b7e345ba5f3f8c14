import { install } from '@sinonjs/fake-timers';

import { formatTable } from '../formatTable.js';
import { writeResult } from '../writeResult.js';
import type { LoadCondition, RouterResult } from './RequestRecorder.js';
import { arrivalPeriodMs, RequestRecorder } from './RequestRecorder.js';
import type { RouterModel } from './routerModels.js';
import { BaselineChoice, BaselineRouter, ProductionRouter } from './routerModels.js';
import {
  capacityPerSecond,
  createArrivals,
  endpointCount,
  instanceCount,
  slotsPerEndpoint,
  streams,
} from './RouterScenario.js';
import { SimulatedEndpoint } from './SimulatedEndpoint.js';
import { SlotStrategy } from './SlotStrategy.js';

const conditions: readonly LoadCondition[] = [
  { load: 0.5, skew: 1 },
  { load: 1, skew: 1 },
  { load: 2, skew: 1 },
  { load: 3, skew: 1 },
  { load: 0.7, skew: 4 },
];
/** Time in milliseconds after the last arrival in which pending requests can still end. */
const drainMs = 6_000;
/** Interval in milliseconds at which instances receive the load of their peers. */
const digestIntervalMs = 1_000;
const seed = 31;

interface RouterPolicy {
  readonly name: string;
  readonly create: (
    index: number,
    members: readonly string[],
    endpoints: readonly SimulatedEndpoint[],
    clock: { monotonic(): number; wall(): number },
  ) => RouterModel;
}

const baselineConcurrency = Math.ceil((endpointCount * slotsPerEndpoint) / instanceCount);

function createProductionPolicy(strategy: SlotStrategy): RouterPolicy {
  return {
    name: strategy === SlotStrategy.ownSlotsFirst ? 'apricothoist' : strategy,
    create: (index, members, endpoints, clock) =>
      new ProductionRouter(members[index] ?? '', members, endpoints, strategy, clock, seed + index),
  };
}

function createBaselinePolicy(choice: BaselineChoice): RouterPolicy {
  return {
    name: `FIFO ${choice}`,
    create: (index, _, endpoints, clock) =>
      new BaselineRouter(choice, baselineConcurrency, endpoints, clock, seed + index),
  };
}

const policies: readonly RouterPolicy[] = [
  createBaselinePolicy(BaselineChoice.random),
  createBaselinePolicy(BaselineChoice.roundRobin),
  createProductionPolicy(SlotStrategy.staticShares),
  createProductionPolicy(SlotStrategy.twoChoices),
  createProductionPolicy(SlotStrategy.randomEndpoint),
  createProductionPolicy(SlotStrategy.ownSlotsFirst),
];

/** Runs every policy under every load condition in virtual time and prints a comparison. */
export async function runRouterBench(print: (text: string) => void): Promise<void> {
  const results: RouterResult[] = [];
  for (const condition of conditions) {
    const conditionResults: RouterResult[] = [];
    for (const policy of policies) {
      conditionResults.push(await measurePolicy(policy, condition));
    }
    results.push(...conditionResults);
    print(formatCondition(condition, conditionResults));
  }
  print(`written to ${writeResult('router', { capacityPerSecond, results })}`);
}

async function measurePolicy(
  policy: RouterPolicy,
  condition: LoadCondition,
): Promise<RouterResult> {
  const timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });
  const clock = { monotonic: () => timers.now, wall: () => timers.now };
  const endpoints = Array.from(
    { length: endpointCount },
    (_, index) => new SimulatedEndpoint(`endpoint-${index}`, slotsPerEndpoint),
  );
  const members = Array.from({ length: instanceCount }, (_, index) => `instance-${index}`);
  const models = members.map((_, index) => policy.create(index, members, endpoints, clock));
  const recorder = new RequestRecorder(condition);
  const digestTimer = setInterval(() => exchangePeerLoads(models, endpoints), digestIntervalMs);
  const start = timers.now;
  createArrivals(condition.load, arrivalPeriodMs, condition.skew, seed).forEach(
    (arrival, index) => {
      setTimeout(() => {
        const { stream } = arrival;
        const arrivedAt = timers.now;
        const descriptor = {
          id: `request-${index}`,
          account: stream.account,
          service: 'service',
          urgency: stream.urgency,
          isIdempotent: true,
          arrivedAt,
          deadline: arrivedAt + stream.deadlineMs,
          isForwarded: false,
        };
        void models[arrival.instance]?.handle(arrival, descriptor).then((isAnswered) => {
          recorder.record(stream, arrivedAt - start, timers.now - start, isAnswered);
        });
      }, arrival.at);
    },
  );
  while (timers.now < start + arrivalPeriodMs + drainMs) {
    timers.next();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  clearInterval(digestTimer);
  timers.uninstall();
  const refusals = endpoints.reduce((sum, endpoint) => sum + endpoint.refusalCount, 0);
  return recorder.createResult(policy.name, refusals);
}

// Simulates the load digests that instances send over the mesh once per second.
function exchangePeerLoads(
  models: readonly RouterModel[],
  endpoints: readonly SimulatedEndpoint[],
): void {
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

function formatCondition({ load, skew }: LoadCondition, results: readonly RouterResult[]): string {
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
  const rows = results.map((row) => [
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
