import test from 'ava';

import { EndEvidence } from './EndEvidence.js';
import { describeFormerRun } from './formerRun.js';

test('a start names the runners of the run before it and what proved its ends', (t) => {
  t.deepEqual(describeFormerRun([{ runnerId: undefined }]), {});
  t.deepEqual(
    describeFormerRun([
      { runnerId: 'r1', endEvidence: EndEvidence.leaseExpired },
      { runnerId: 'r2', endEvidence: EndEvidence.reported },
      { runnerId: 'r1', endEvidence: EndEvidence.leaseExpired },
    ]),
    { formerRunners: 'r1,r2', formerEnds: 'leaseExpired,reported' },
  );
});
