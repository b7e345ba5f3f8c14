import test from 'ava';

import { AgentPool } from './AgentPool.js';

test('the pool evicts addresses beyond its limit', (t) => {
  using pool = new AgentPool(2);
  for (let index = 0; index < 1_500; index += 1) {
    pool.agentFor(`10.0.0.1:${index}`);
  }
  t.is(pool.size, 1_000);
});
