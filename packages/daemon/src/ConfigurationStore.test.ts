import { Random, SystemClock } from '@apricothoist/common';
import { ConfigurationBuilder } from '@apricothoist/config';
import { BudgetedStore } from '@apricothoist/platform';
import { MemoryStore } from '@apricothoist/testing';
import test from 'ava';

import { ConfigurationStore } from './ConfigurationStore.js';

const revisions = 50;
const callsPerSecond = 30;

function createText(weight: number): string {
  return new ConfigurationBuilder({
    name: 'test',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 0.5,
  })
    .account('team', { weight, requestLimit: 10, acceleratorLimit: 8 })
    .print();
}

async function publishRevisions(store: ConfigurationStore): Promise<void> {
  for (let revision = 0; revision < revisions; revision += 1) {
    const published = await store.publish({
      changeId: `change-${revision}`,
      expectedRevision: revision,
      text: createText(revision + 1),
      author: 'operator',
      reason: 'test',
      at: 0,
    });
    published._unsafeUnwrap();
  }
}

// Guards against an audit trail that can no longer be read once it is longer than the call budget.
test('an audit trail longer than the call budget is read, and scheduling keeps its share', async (t) => {
  const clock = new SystemClock();
  const memory = new MemoryStore(() => clock.wall());
  const createStore = (calls: number): BudgetedStore =>
    new BudgetedStore(memory, clock, new Random(1), {
      callsPerSecond: calls,
      reservedPerSecond: calls / 2,
      callTimeoutMs: 1_000,
    });
  await publishRevisions(new ConfigurationStore(createStore(100_000)));
  const store = createStore(callsPerSecond);
  let refusedReads = 0;
  const schedulingReads = setInterval(() => {
    store
      .read('lease')
      .then((read) => {
        refusedReads += read.isErr() ? 1 : 0;
      })
      .catch(() => {});
  }, 100);
  const trail = await new ConfigurationStore(store, store.forRequests).readAuditTrail(0, revisions);
  clearInterval(schedulingReads);
  t.is(trail.unwrapOr([]).length, revisions);
  t.is(refusedReads, 0);
});
