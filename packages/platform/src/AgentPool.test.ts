import test from 'ava';

import { AgentPool } from './AgentPool.js';

test('the pool evicts addresses beyond its limit', (t) => {
  using pool = new AgentPool(2);
  for (let index = 0; index < 1_500; index += 1) {
    pool.agentFor(`10.0.0.1:${index}`);
  }
  t.is(pool.size, 1_000);
});

// Guards against a new connection for each call to the store once many runners have been addressed.
test('an address in use is not evicted', (t) => {
  using pool = new AgentPool(2);
  const agent = pool.agentFor('10.0.0.2:1');
  for (let index = 0; index < 1_500; index += 1) {
    pool.agentFor(`10.0.0.1:${index}`);
    t.is(pool.agentFor('10.0.0.2:1'), agent);
  }
});
