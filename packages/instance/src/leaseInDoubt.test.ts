import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { delay, Random, SystemClock } from '@apricothoist/common';
import { EventLog, LogFormat, LogLevel } from '@apricothoist/telemetry';
import { replayBounds, VirtualCoordinationStore } from '@apricothoist/testing';
import test from 'ava';
import { err, ok } from 'neverthrow';
import { WebSocket } from 'ws';

import { CoordinationError, CoordinationErrorKind } from './CoordinationStore.js';
import { feedUrl } from './feedAddress.js';
import { JobInstance } from './JobInstance.js';
import type { RunnerClient } from './RunnerClient.js';

const pollMs = 50;
/** Milliseconds until the test fails; the lease is in doubt after 1.4 s. */
const timeoutMs = 10_000;

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

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

async function connectFollower(feedAddress: string): Promise<WebSocket> {
  for (;;) {
    const socket = new WebSocket(feedUrl(feedAddress, 1));
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once('message', () => resolve(true));
      socket.once('error', () => resolve(false));
      socket.once('close', () => resolve(false));
    });
    if (isOpen) {
      return socket;
    }
    await delay(pollMs);
  }
}

// The store refused the holder alone. Followers learned it only by their idle timeout, 1.5 s after
// the last update, while the key was already free.
test.serial('a holder whose lease is in doubt disconnects its followers', async (t) => {
  t.timeout(timeoutMs);
  const store = new RefusingStore();
  const clock = new SystemClock();
  const feedPort = await freePort();
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
    registry: { list: async () => ok([]) },
    runners: {} as RunnerClient,
    clock,
    steadyClock: clock,
    random: new Random(1),
    log: new EventLog('test', LogLevel.error, LogFormat.text, clock),
    configurationKey: 'configuration',
    decodeConfiguration: () => err(new Error('no configuration')),
  });
  await instance.start();
  const follower = await connectFollower(`127.0.0.1:${feedPort}`);
  t.is(instance.status.followers, 1);
  store.isRefusing = true;
  await once(follower, 'close');
  store.isRefusing = false;
  const again = await connectFollower(`127.0.0.1:${feedPort}`);
  t.is(instance.status.scheduling, 1, 'the lease was renewed later');
  again.terminate();
});
