import test from 'ava';

import { VirtualDeployment } from './testing/VirtualDeployment.js';

const request = { key: 'evacuate/a', value: '{}', revision: 1 };

// A successor that schedules before it knows the operator's requests starts work there again.
test.serial(
  'a successor starts nothing in an evacuated data centre until it is taken back',
  async (t) => {
    using deployment = new VirtualDeployment({ runners: 2 });
    deployment.takeOver();
    await deployment.run(500);
    deployment.evacuations.apply({
      items: [request],
      requestedAt: deployment.now,
      revision: 1,
      isComplete: false,
    });
    deployment.takeOver();
    deployment.submit('00000000000000a1', [{ count: 4 }]);
    await deployment.run(3_000);
    t.is(deployment.pool.records.length, 0);
    deployment.evacuations.apply({
      items: [],
      requestedAt: deployment.now,
      revision: 2,
      isComplete: true,
    });
    t.true(await deployment.runUntilCompleted(10_000));
  },
);
