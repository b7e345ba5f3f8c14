import { delay, Random } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import { ManualClock } from '@apricothoist/testing';
import test from 'ava';

import type { AdmissionState } from './Admission.js';
import { admit } from './Admission.js';
import { endpointChart, EndpointState } from './Endpoint.js';
import { EndpointTable } from './EndpointTable.js';
import { FairQueue } from './FairQueue.js';
import { RequestRouter } from './RequestRouter.js';
import { RetryBudget } from './RetryBudget.js';
import type { EndpointSender, RequestClaims } from './RouterCollaborators.js';
import { ClaimResult } from './RouterCollaborators.js';
import type { AttemptResult, RequestDescriptor } from './RequestDescriptor.js';
import { AttemptOutcome, RefusalReason } from './RequestDescriptor.js';

const clock = new ManualClock();
let descriptorCount = 0;

function createDescriptor(change: Partial<RequestDescriptor> = {}): RequestDescriptor {
  descriptorCount += 1;
  const now = performance.now();
  return {
    id: `request-${descriptorCount}`,
    account: 'team',
    service: 'service',
    urgency: Urgency.normal,
    isIdempotent: true,
    arrivedAt: now,
    deadline: now + 2_000,
    isForwarded: false,
    ...change,
  };
}

const endpointInfos = (count: number, leaving: readonly number[] = []) =>
  Array.from({ length: count }, (_, index) => ({
    id: `endpoint-${index}`,
    address: `address-${index}`,
    isLeaving: leaving.includes(index),
  }));

function createTable(count: number, slots = 8): EndpointTable {
  const table = new EndpointTable('self', slots, new Random(3));
  table.update(endpointInfos(count), 0);
  table.setMembers(['self']);
  return table;
}

type Send = EndpointSender<string, string>['send'];

interface RouterOptions {
  readonly send: Send;
  readonly claims?: RequestClaims;
  readonly endpoints?: EndpointTable;
  readonly timeoutMs?: number;
}

function createRouter(options: RouterOptions): RequestRouter<string, string> {
  return new RequestRouter<string, string>(
    {
      clock: { monotonic: () => performance.now(), wall: () => Date.now() },
      random: new Random(4),
      endpoints: options.endpoints ?? createTable(3),
      sender: { send: options.send },
      peers: { forward: () => undefined },
      claims: options.claims ?? {
        claim: async () => ClaimResult.granted,
        release: async () => {},
      },
      weightOf: () => 1,
      limitOf: (account) => (account === 'unknown' ? undefined : 50),
    },
    { timeoutMs: options.timeoutMs ?? 500, retryPercent: 100 },
  );
}

const answered = (answer: string): AttemptResult<string> => ({
  outcome: AttemptOutcome.answered,
  answer,
  isFailure: false,
});
const notRun: AttemptResult<string> = {
  outcome: AttemptOutcome.notRun,
  isBusy: false,
  isLeaving: false,
};
const unknown: AttemptResult<string> = { outcome: AttemptOutcome.unknown };

function drain(queue: FairQueue, count: number): void {
  for (let index = 0; index < count; index += 1) {
    void queue.dequeue()?.();
  }
}

test('urgent requests are dequeued first and batch requests do not starve', (t) => {
  const queue = new FairQueue(() => 1, clock);
  const order: string[] = [];
  const add = (name: string, urgency: Urgency, arrivedAt: number): void =>
    queue.enqueue(
      async () => {
        order.push(name);
      },
      { descriptor: createDescriptor({ urgency, arrivedAt }) },
    );
  add('batch', Urgency.batch, 0);
  Array.from({ length: 20 }, (_, index) => add('urgent', Urgency.urgent, index + 1));
  drain(queue, 21);
  t.is(order[0], 'urgent');
  t.true(
    order.indexOf('batch') <= 8,
    `the batch request was dequeued at index ${order.indexOf('batch')}`,
  );
});

test('accounts are served in proportion to their weight, regardless of their backlog', (t) => {
  const weights: Record<string, number> = { large: 3, small: 1 };
  const queue = new FairQueue((account) => weights[account] ?? 1, clock);
  const served: Record<string, number> = { large: 0, small: 0 };
  const add = (account: string): void =>
    queue.enqueue(
      async () => {
        served[account] = (served[account] ?? 0) + 1;
      },
      { descriptor: createDescriptor({ account, arrivedAt: descriptorCount }) },
    );
  Array.from({ length: 400 }, () => add('small'));
  Array.from({ length: 100 }, () => add('large'));
  drain(queue, 80);
  const share = (served.large ?? 0) / 80;
  t.true(share > 0.6 && share < 0.8, `share of the large account: ${share}`);
});

test('an idle account does not accumulate credit', (t) => {
  const queue = new FairQueue(() => 1, clock);
  const order: string[] = [];
  const add = (account: string): void =>
    queue.enqueue(
      async () => {
        order.push(account);
      },
      { descriptor: createDescriptor({ account, arrivedAt: descriptorCount }) },
    );
  Array.from({ length: 100 }, () => add('busy'));
  drain(queue, 60);
  Array.from({ length: 40 }, () => add('late'));
  order.length = 0;
  drain(queue, 20);
  const late = order.filter((account) => account === 'late').length;
  t.true(late >= 8 && late <= 12, `${late} of 20 dequeues`);
});

test('admission refuses requests that cannot meet their deadline, with a retry delay', (t) => {
  const queue = new FairQueue(() => 1, clock);
  Array.from({ length: 100 }, () =>
    queue.enqueue(async () => {}, { descriptor: createDescriptor({ account: 'team' }) }),
  );
  const state: AdmissionState = {
    queue,
    concurrency: 10,
    serviceMs: 100,
    accountOpenCount: 5,
    accountLimit: 200,
    weightOf: () => 1,
  };
  const late = admit(createDescriptor({ deadline: 500 }), state, 0);
  t.is(late?.reason, RefusalReason.overloaded);
  t.is(late?.outcome, AttemptOutcome.notRun);
  t.true((late?.retryAfterMs ?? 0) >= 900);
  t.is(admit(createDescriptor({ deadline: 5_000 }), state, 0), undefined);
  const full = admit(createDescriptor({ deadline: 5_000 }), { ...state, accountOpenCount: 200 }, 0);
  t.is(full?.reason, RefusalReason.accountLimit);
});

test('at most half of the endpoints are ejected', (t) => {
  const table = createTable(4);
  table.all.forEach((endpoint) => {
    Array.from({ length: 8 }, () => table.recordOutcome(endpoint, false, 0));
  });
  const ejected = table.all.filter((endpoint) => endpoint.state === EndpointState.ejected);
  t.is(ejected.length, 2);
});

test('a readmitted endpoint warms up gradually', (t) => {
  const table = createTable(2);
  const [endpoint] = table.all;
  Array.from({ length: 8 }, () => endpoint && table.recordOutcome(endpoint, false, 0));
  t.is(endpoint?.allowedSlots(1_000), 0);
  t.is(endpoint?.allowedSlots(2_000), 1);
  t.is(endpoint?.allowedSlots(4_500), 4);
  t.is(endpoint?.allowedSlots(7_000), 8);
});

test('an endpoint that fails fast does not attract load', async (t) => {
  const endpoints = createTable(3, 4);
  let failures = 0;
  await using router = createRouter({
    endpoints,
    send: async (endpoint) => {
      if (endpoint.id === 'endpoint-0') {
        failures += 1;
        return notRun;
      }
      await delay(5);
      return answered(endpoint.id);
    },
  });
  for (let index = 0; index < 100; index += 1) {
    const result = await router.route(createDescriptor(), '');
    t.is(result.outcome, AttemptOutcome.answered);
  }
  t.true(failures <= 10, `${failures} requests went to the failing endpoint`);
});

test('an endpoint that was seen leaving is not added again by a stale list', (t) => {
  const table = createTable(2);
  t.true(table.markLeaving('endpoint-0'));
  t.false(table.markLeaving('endpoint-0'));
  table.update(endpointInfos(2), 100);
  const chosen = Array.from({ length: 20 }, () => table.choose(new Set(), 100)?.id);
  t.false(chosen.includes('endpoint-0'));
});

test('an endpoint missing from one list is used again when listed', (t) => {
  const table = createTable(2);
  table.update(endpointInfos(1), 100);
  t.is(table.choose(new Set(['endpoint-0']), 100), undefined);
  table.update(endpointInfos(2), 200);
  t.is(table.choose(new Set(['endpoint-0']), 200)?.id, 'endpoint-1');
});

test('every slot is owned by exactly one instance', (t) => {
  const members = Array.from({ length: 9 }, (_, index) => `instance-${index}`);
  const tables = members.map((member) => {
    const table = new EndpointTable(member, 8, new Random(1));
    table.update(endpointInfos(30), 0);
    table.setMembers(members);
    return table;
  });
  endpointInfos(30).forEach(({ id }) => {
    t.is(
      tables.reduce((sum, table) => sum + table.ownedSlotsOf(id), 0),
      8,
    );
  });
});

test('retries are limited to a share of first attempts', (t) => {
  const budget = new RetryBudget(20);
  Array.from({ length: 10 }, () => budget.withdraw());
  t.false(budget.withdraw());
  Array.from({ length: 100 }, () => budget.deposit());
  const allowed = Array.from({ length: 30 }, () => budget.withdraw()).filter(Boolean).length;
  t.true(allowed >= 9 && allowed <= 20, `${allowed} retries`);
});

test('a non-idempotent request is not retried after an unknown outcome', async (t) => {
  let sends = 0;
  await using router = createRouter({
    send: async () => {
      sends += 1;
      return unknown;
    },
  });
  const result = await router.route(createDescriptor({ isIdempotent: false, key: 'k' }), '');
  t.is(result.outcome, AttemptOutcome.unknown);
  t.is(sends, 1);
});

test('a non-idempotent request is retried if it certainly did not run', async (t) => {
  let sends = 0;
  await using router = createRouter({
    send: async () => {
      sends += 1;
      return sends === 1 ? notRun : answered('second');
    },
  });
  const result = await router.route(createDescriptor({ isIdempotent: false, key: 'k' }), '');
  t.like(result, { outcome: AttemptOutcome.answered, answer: 'second' });
});

test('an idempotent request is retried at another endpoint after an unknown outcome', async (t) => {
  const tried: string[] = [];
  await using router = createRouter({
    send: async (endpoint) => {
      tried.push(endpoint.id);
      return tried.length === 1 ? unknown : answered('again');
    },
  });
  const result = await router.route(createDescriptor(), '');
  t.is(result.outcome, AttemptOutcome.answered);
  t.is(new Set(tried).size, 2);
});

test('an unavailable claim refuses as notRun, a taken claim as unknown', async (t) => {
  const results = { unavailable: AttemptOutcome.notRun, taken: AttemptOutcome.unknown };
  for (const [claim, outcome] of Object.entries(results)) {
    let sends = 0;
    await using router = createRouter({
      claims: { claim: async () => claim as ClaimResult, release: async () => {} },
      send: async () => {
        sends += 1;
        return answered('');
      },
    });
    const result = await router.route(createDescriptor({ isIdempotent: false, key: 'k' }), '');
    t.is(result.outcome, outcome);
    t.is(sends, 0);
  }
});

test('a claim is released when the request did not run', async (t) => {
  let released = 0;
  await using router = createRouter({
    claims: {
      claim: async () => ClaimResult.granted,
      release: async () => {
        released += 1;
      },
    },
    send: async () => notRun,
  });
  const result = await router.route(createDescriptor({ isIdempotent: false, key: 'k' }), '');
  t.is(result.outcome, AttemptOutcome.notRun);
  t.is(released, 1);
});

test('without endpoints a request is refused immediately, not at its deadline', async (t) => {
  const endpoints = new EndpointTable('self', 8, new Random(1));
  await using router = createRouter({ endpoints, send: async () => notRun });
  const startedAt = performance.now();
  const result = await router.route(createDescriptor({ deadline: startedAt + 5_000 }), '');
  t.like(result, { outcome: AttemptOutcome.notRun, reason: RefusalReason.noEndpoint });
  t.true(performance.now() - startedAt < 1_000);
});

test('requests of unknown accounts are refused', async (t) => {
  await using router = createRouter({ send: async () => answered('') });
  const result = await router.route(createDescriptor({ account: 'unknown' }), '');
  t.like(result, { reason: RefusalReason.unknownAccount });
});

test('a stopping router answers open requests and refuses new ones', async (t) => {
  const router = createRouter({
    send: async () => {
      await delay(50);
      return answered('done');
    },
  });
  const open = router.route(createDescriptor(), '');
  await delay(5);
  const stopped = router.stop();
  const late = await router.route(createDescriptor(), '');
  t.like(late, { outcome: AttemptOutcome.notRun, reason: RefusalReason.stopping });
  t.like(await open, { answer: 'done' });
  await stopped;
  t.is(router.openRequestCount, 0);
});

test('every event leads from every endpoint state to a defined state', (t) => {
  endpointChart.states.forEach((state) => {
    endpointChart.events.forEach((event) => {
      t.true(endpointChart.states.includes(endpointChart.next(state, event)));
    });
  });
  t.true(endpointChart.isFinal(EndpointState.leaving));
});
