import { delay, Random, SystemClock } from '@apricothoist/common';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import { replayBounds, VirtualCoordinationStore } from '@apricothoist/testing';
import test from 'ava';
import { err } from 'neverthrow';

import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { FeedClient } from './FeedClient.js';
import { JobInstance } from './JobInstance.js';
import { JobStatusCache } from './JobStatusCache.js';
import type { RunnerClient } from './RunnerClient.js';
import { createRegistry } from './testing/fakeRegistry.js';
import { findFreePort } from './testing/findFreePort.js';

const pollMs = 50;
/** Milliseconds until the test fails; the lease is in doubt after 1.4 s. */
const timeoutMs = 10_000;

class RefusingStore extends VirtualCoordinationStore {
  public isRefusing = false;

  public override async renewLease(
    lease: number,
  ): ReturnType<VirtualCoordinationStore['renewLease']> {
    return this.isRefusing
      ? (err(new CoordinationError(CoordinationErrorKind.refused, 'HTTP 503')) as never)
      : super.renewLease(lease);
  }
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await delay(pollMs);
  }
}

// The store refused the holder alone. Followers learned it only by their idle timeout, 1.5 s after
// the last update, while the key was already free.
test.serial(
  'followers look for a successor while the lease of the holder is in doubt',
  async (t) => {
    t.timeout(timeoutMs);
    const store = new RefusingStore();
    const clock = new SystemClock();
    const feedPort = await findFreePort();
    const settings = {
      name: 'holder',
      feedHost: '127.0.0.1',
      feedPort,
      cores: 1,
      revokeMs: 5_000,
      bounds: replayBounds,
    };
    await using instance = new JobInstance(settings, {
      store,
      registry: createRegistry(),
      runners: {} as RunnerClient,
      clock,
      steadyClock: clock,
      random: new Random(1),
      log: new EventLog('test', LogLevel.error, LogFormat.text, clock),
      operatorKeys: {
        prefix: 'operator/',
        configuration: 'operator/configuration',
        evacuations: 'operator/evacuate/',
        waves: 'wave/',
      },
      decodeConfiguration: () => err(new Error('no configuration')),
    });
    await instance.start();
    await until(() => instance.status.stored_state_loaded === 1);
    const location = { instance: 'holder', feedAddress: `127.0.0.1:${feedPort}`, token: 1 };
    using follower = new FeedClient(new JobStatusCache(clock), clock, 1);
    let connections = 0;
    let isConnected = false;
    follower.onChange((change) => {
      isConnected = change.isConnected;
      connections += change.isConnected ? 1 : 0;
    });
    follower.connect(location);
    await until(() => isConnected);
    t.true(follower.isActive);
    store.isRefusing = true;
    await until(() => !follower.isActive);
    t.true(isConnected, 'the connection stays open for a lease that is renewed late');
    store.isRefusing = false;
    await until(() => follower.isActive);
    t.is(connections, 1);
  },
);
