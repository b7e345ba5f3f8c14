import type { Clock } from '@apricothoist/common';
import { delay, Random } from '@apricothoist/common';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import { replayBounds, VirtualCoordinationStore } from '@apricothoist/testing';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import { err } from 'neverthrow';

import { JobInstance } from './JobInstance.js';
import type { RunnerClient } from './RunnerClient.js';
import { createRegistry } from './testing/fakeRegistry.js';

const smallCores = 0.324;
const largeCores = 1.35;
/** Milliseconds after which a holder has stored what its successors need. */
const settledMs = 6_000;
/** Milliseconds within which one of the restarted instances must be the holder. */
const electionBoundMs = 3_000;
const smallInstances = 8;
const seeds = [1, 2, 3, 4, 5, 6];

/** Instances that compete for the key of one store, in virtual time. */
class VirtualElection implements AsyncDisposable {
  private readonly timers = install({
    now: 1_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });

  private readonly clock: Clock = {
    monotonic: () => this.timers.now,
    wall: () => this.timers.now,
  };

  private readonly store = new VirtualCoordinationStore();

  private instances: { readonly cores: number; readonly instance: JobInstance }[] = [];

  public constructor(private readonly seed: number) {}

  /** Cores of the instances that hold the leadership. */
  public get holderCores(): number[] {
    return this.instances.filter(({ instance }) => instance.isScheduling).map(({ cores }) => cores);
  }

  /** Starts instances at the same time. */
  public async start(allCores: readonly number[]): Promise<void> {
    this.instances = allCores.map((cores, index) => ({
      cores,
      instance: this.createInstance(cores, index),
    }));
    await this.until(Promise.all(this.instances.map(({ instance }) => instance.start())));
  }

  /** Stops all instances. */
  public async stop(): Promise<void> {
    await this.until(
      Promise.all(this.instances.map(({ instance }) => instance[Symbol.asyncDispose]())),
    );
    this.instances = [];
  }

  /** Advances virtual time. */
  public async run(milliseconds: number): Promise<void> {
    await this.until(delay(milliseconds));
  }

  private createInstance(cores: number, index: number): JobInstance {
    const settings = {
      name: `instance-${index}`,
      feedHost: '127.0.0.1',
      feedPort: 0,
      cores,
      revokeMs: 5_000,
      bounds: replayBounds,
    };
    return new JobInstance(settings, {
      store: this.store,
      registry: createRegistry(),
      runners: {} as RunnerClient,
      clock: this.clock,
      steadyClock: this.clock,
      random: new Random(this.seed * 100 + index),
      log: new EventLog('test', LogLevel.error, LogFormat.text, this.clock),
      operatorKeys: {
        prefix: 'operator/',
        configuration: 'operator/configuration',
        evacuations: 'operator/evacuate/',
        waves: 'wave/',
      },
      decodeConfiguration: () => err(new Error('no configuration')),
    });
  }

  private async until(awaited: Promise<unknown>): Promise<void> {
    let hasEnded = false;
    const ended = awaited.finally(() => {
      hasEnded = true;
    });
    while (!hasEnded) {
      this.timers.next();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await ended;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
    this.timers.uninstall();
  }
}

// A small instance with hundreds of runners sends the members of a gang too late for each other.
test.serial('after a restart of all instances a strong one takes the free key', async (t) => {
  for (const seed of seeds) {
    await using election = new VirtualElection(seed);
    await election.start([largeCores]);
    await election.run(settledMs);
    await election.stop();
    await election.start([...Array<number>(smallInstances).fill(smallCores), largeCores]);
    await election.run(electionBoundMs);
    t.deepEqual(election.holderCores, [largeCores], `seed ${seed}`);
  }
});

test.serial(
  'the first instances of a deployment elect a holder without a stored strength',
  async (t) => {
    await using election = new VirtualElection(1);
    await election.start([smallCores, smallCores]);
    await election.run(electionBoundMs);
    t.deepEqual(election.holderCores, [smallCores]);
  },
);

test.serial('small instances elect a holder when the strong ones do not come back', async (t) => {
  await using election = new VirtualElection(1);
  await election.start([largeCores]);
  await election.run(settledMs);
  await election.stop();
  await election.start([smallCores, smallCores]);
  await election.run(electionBoundMs);
  t.deepEqual(election.holderCores, [smallCores]);
});

// A small holder that no strong instance has reached yet must not make the next election random.
test.serial(
  'a small holder does not forget the strong instances in its first seconds',
  async (t) => {
    await using election = new VirtualElection(2);
    await election.start([largeCores]);
    await election.run(settledMs);
    await election.stop();
    await election.start([smallCores]);
    await election.run(settledMs);
    t.deepEqual(election.holderCores, [smallCores]);
    await election.stop();
    await election.start([...Array<number>(smallInstances).fill(smallCores), largeCores]);
    await election.run(electionBoundMs);
    t.deepEqual(election.holderCores, [largeCores]);
  },
);
