import { Random, SystemClock } from '@apricothoist/common';
import { Urgency } from '@apricothoist/config';
import type { Digest, Mesh } from '@apricothoist/mesh';
import { Membership, MeshError, MeshErrorKind } from '@apricothoist/mesh';
import { AttemptOutcome, RefusalReason } from '@apricothoist/router';
import test from 'ava';
import { err, ok } from 'neverthrow';

import { MeshForwarder } from './MeshForwarder.js';

const service = 'search';
const seeds = 100;
const clock = new SystemClock();
const answer = { status: 200, headers: {}, body: Buffer.from('found') };
const descriptor = {
  id: 'request',
  account: 'team',
  service,
  urgency: Urgency.normal,
  isIdempotent: false,
  key: undefined,
  arrivedAt: clock.monotonic(),
  deadline: clock.monotonic() + 10_000,
  isForwarded: false,
};
const content = { method: 'POST', path: '/', headers: {}, body: Buffer.from('query') };

function createDigest(instanceId: string): Digest {
  return {
    instanceId,
    dataCentre: 'north',
    address: `${instanceId}:1`,
    sequence: 1,
    isLeaving: false,
    configurationRevision: 1,
    planRevision: 1,
    planConfirmedAt: 0,
    services: [{ service, spareSlots: 5 }],
    endpoints: [],
    leavingEndpoints: [],
    peers: [],
  };
}

/** Mesh with three peers of another data centre; the links to those with a failure do not work. */
class PartialMesh {
  public readonly membership = new Membership('self', 'south');

  public readonly requested: string[] = [];

  public constructor(private readonly failures: Readonly<Record<string, MeshErrorKind>>) {
    ['one', 'two', 'three'].forEach((id) => this.membership.applyDigest(createDigest(id), 0));
  }

  public async request(instanceId: string) {
    this.requested.push(instanceId);
    const failure = this.failures[instanceId];
    return failure === undefined
      ? ok({ outcome: AttemptOutcome.answered, answer })
      : err(new MeshError(failure, 'no link'));
  }
}

function forward(mesh: PartialMesh, seed: number) {
  const forwarder = new MeshForwarder(mesh as unknown as Mesh, clock, new Random(seed), 'south');
  return forwarder.forward(descriptor, content);
}

// Guards against a refusal because the link to one of several peers is closed.
test('a request that could not be sent to one peer is forwarded to another', async (t) => {
  const { notSent } = MeshErrorKind;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const mesh = new PartialMesh({ one: notSent, two: notSent });
    const result = await forward(mesh, seed);
    t.is(result?.outcome, AttemptOutcome.answered, `seed ${seed}`);
    t.is(new Set(mesh.requested).size, mesh.requested.length, 'each peer is asked once');
  }
  const unreachable = await forward(
    new PartialMesh({ one: notSent, two: notSent, three: notSent }),
    1,
  );
  t.is(unreachable?.outcome, AttemptOutcome.notRun);
});

test('a request that a peer may have run is not forwarded to another', async (t) => {
  const { unanswered } = MeshErrorKind;
  const mesh = new PartialMesh({ one: unanswered, two: unanswered, three: unanswered });
  const result = await forward(mesh, 1);
  t.like(result, { outcome: AttemptOutcome.unknown, reason: RefusalReason.failed });
  t.is(mesh.requested.length, 1);
});
