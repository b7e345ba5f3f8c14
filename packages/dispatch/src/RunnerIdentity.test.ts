import {
  DispatchFixture,
  endedTask,
  listedRunner,
  plainStep,
  runningTask,
} from '@apricothoist/testing';
import test from 'ava';

import type { ListedRunner } from './ListedRunner.js';
import type { Runner } from './Runner.js';
import { StartOutcome } from './StartOutcome.js';
import { RunEnd } from './TaskGroupLifecycle.js';

/** A single task that runs on the only runner, whose first incarnation has reported. */
class IdentityFixture extends DispatchFixture {
  public constructor() {
    super([plainStep], undefined, ['r1']);
    this.report('r1');
    this.recordStartOutcomes(this.step(), StartOutcome.started);
  }

  public get runner(): Runner {
    return this.dispatcher.state.runners.get('r1') as Runner;
  }

  public list(change: Partial<ListedRunner>): void {
    this.dispatcher.updateRunners([listedRunner('r1', change)], this.now);
  }

  public reportFrom(address: string, processStartedAt: number, requestedAt = this.now): boolean {
    const ended = [endedTask(1, 0, RunEnd.done)];
    const report = { processStartedAt, address, requestedAt, running: [], ended };
    this.now += 1;
    return this.dispatcher.applyReport('r1', { ...report, hasMoreEnds: false }, this.now);
  }
}

// The run was held to have ended without a result, and the task ran to its end twice.
test('an end is heard in a report that was requested before an odd entry was seen', (t) => {
  const fixture = new IdentityFixture();
  const requestedAt = fixture.now;
  fixture.now += 1;
  fixture.list({ processStartedAt: 8_640_000_000_000_000 });
  t.true(fixture.reportFrom('r1', 1, requestedAt));
  t.is(fixture.state, 'completed');
  t.false(fixture.runner.isFenced, 'the next report tells which incarnation runs');
  fixture.now += 1;
  fixture.report('r1');
  t.true(fixture.runner.isFenced);
  fixture.list({ processStartedAt: 8_640_000_000_000_000 });
  t.true(fixture.runner.isFenced, 'the entry is refuted');
});

test('a runner that restarts at another address is used there once it has reported', (t) => {
  const fixture = new IdentityFixture();
  fixture.list({ processStartedAt: 2, address: 'elsewhere', service: 'other' });
  const { identity } = fixture.runner;
  t.is(fixture.runner.listed.address, 'r1');
  t.is(identity.elsewhere('r1')?.address, 'elsewhere');
  t.true(fixture.reportFrom('elsewhere', 2));
  t.like(fixture.runner.listed, { address: 'elsewhere', service: 'other', processStartedAt: 2 });
  t.true(fixture.runner.isFenced);
  t.false(fixture.runner.isEntryOutdated);
  fixture.list({});
  t.is(fixture.runner.listed.processStartedAt, 2, 'the former entry is of no use');
  t.true(fixture.runner.isFenced);
});

test('an address of the same incarnation is used once the runner has reported from it', (t) => {
  const fixture = new IdentityFixture();
  fixture.list({ address: 'elsewhere' });
  fixture.list({ address: 'elsewhere' });
  t.is(fixture.runner.listed.address, 'r1');
  fixture.reportFrom('elsewhere', 1);
  t.is(fixture.runner.listed.address, 'elsewhere');
});

// Service and place of another writer had tasks started where they must not be.
test('what does not change in the life of a runner is taken from an entry that is repeated', (t) => {
  const fixture = new IdentityFixture();
  const odd = { service: 'other', dataCentre: 'z', isDraining: true };
  const { counters } = fixture.dispatcher.state;
  fixture.list({ revision: 5 });
  fixture.list({ ...odd, revision: 6 });
  fixture.list({ ...odd, revision: 6 });
  t.like(fixture.runner.listed, { service: 'service', dataCentre: 'a', isDraining: false });
  t.is(counters.contradictoryEntries, 1);
  fixture.list({ revision: 7 });
  fixture.list({ ...odd, revision: 8 });
  fixture.list({ ...odd, revision: 9 });
  t.like(fixture.runner.listed, odd);
});

test('a capacity shrinks at once, and grows once an entry repeats it', (t) => {
  const fixture = new IdentityFixture();
  const { capacity } = listedRunner('r1');
  const small = { ...capacity, cpu: 1_000 };
  const cpuAfter = (listed: ListedRunner['capacity'], revision: number): number => {
    fixture.list({ capacity: listed, revision, isDraining: true });
    return fixture.runner.listed.capacity.cpu;
  };
  t.is(cpuAfter(capacity, 5), capacity.cpu);
  t.is(cpuAfter(small, 6), small.cpu);
  t.is(cpuAfter(capacity, 7), capacity.cpu, 'as it was before');
  t.is(cpuAfter({ ...capacity, cpu: 1e9 }, 8), capacity.cpu);
  t.is(cpuAfter({ ...capacity, cpu: 1e9 }, 8), capacity.cpu);
  t.is(cpuAfter({ ...capacity, cpu: 1e9 }, 9), 1e9);
  t.true(fixture.runner.isDraining, 'the rest of the entry applies');
});

test('a stop that was answered beside an entry of another incarnation proves nothing', (t) => {
  const fixture = new DispatchFixture([plainStep], undefined, ['r1']);
  fixture.report('r1');
  const [command] = fixture.step().starts;
  const { task = '', run = 0 } = command ?? {};
  const outcomes = [StartOutcome.unknown];
  fixture.dispatcher.recordStartOutcomes('r1', task, run, outcomes, fixture.now);
  fixture.dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 2 })], fixture.now);
  fixture.dispatcher.recordStopResponse('r1', 1, task, run, fixture.now);
  fixture.now += 1;
  fixture.report('r1', [], [], 2);
  t.deepEqual(fixture.step(1_000).starts, []);
  fixture.report('r1', [runningTask(0)], [], 2);
  t.deepEqual(fixture.step().starts, []);
});
