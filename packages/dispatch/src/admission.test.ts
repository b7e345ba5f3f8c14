import { createSpecification, plainStep, replayQueues } from '@apricothoist/testing';
import test from 'ava';

import type { QueueStatus } from './Admission.js';
import { decideAdmission } from './Admission.js';
import type { JobSpecification, Queue } from './Job.js';

const urgent = replayQueues.urgent as Queue;
const status: QueueStatus = { pending: 0, backlogMs: 0, durationMs: 2_500, largestRunner: 8 };

function specification(accelerators: number): JobSpecification {
  const size = { ...plainStep.size, accelerators };
  return createSpecification('0000000000000001', [{ ...plainStep, size }]);
}

test('a job that can end within the late limit is accepted', (t) => {
  // Three times the objective of 1.5 x 2500 + 250 ms is 12000 ms; the job itself takes 2500 ms.
  t.true(decideAdmission(specification(1), urgent, { ...status, backlogMs: 9_400 }).isAccepted);
});

test('a job behind a long backlog is refused with a retry time', (t) => {
  const refused = decideAdmission(specification(1), urgent, { ...status, backlogMs: 15_500 });
  t.deepEqual(refused, { isAccepted: false, retryAfterMs: 6_000, reason: 'backlog of 15500 ms' });
});

test('a task that fits on no runner is refused', (t) => {
  t.false(decideAdmission(specification(16), urgent, status).isAccepted);
});

test('without a queue status or a learned duration every job is accepted', (t) => {
  t.true(decideAdmission(specification(16), urgent, undefined).isAccepted);
  const unknownDuration = { ...status, durationMs: 0, backlogMs: 90_000 };
  t.true(decideAdmission(specification(1), urgent, unknownDuration).isAccepted);
});
