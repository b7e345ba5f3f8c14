import { SystemClock } from '@apricothoist/common';
import { InstanceListServer } from '@apricothoist/testing';
import test from 'ava';

import { HttpInstanceList } from './HttpInstanceList.js';

test('only a changed list is sent again', async (t) => {
  await using server = new InstanceListServer();
  const url = `http://127.0.0.1:${await server.listen()}`;
  const publish = (id: string): Promise<Response> => {
    const row = { id, role: 'entry', dataCentre: 'a', address: 'x:1', state: 'live' };
    return fetch(`${url}/v1/instances`, {
      method: 'PUT',
      body: JSON.stringify({ instances: [row] }),
    });
  };
  await publish('one');
  const list = new HttpInstanceList(url, new SystemClock());
  const before = server.fullResponses;
  for (let turn = 0; turn < 5; turn += 1) {
    t.is((await list.read())._unsafeUnwrap()[0]?.id, 'one');
  }
  t.is(server.fullResponses - before, 1);
  await publish('two');
  t.is((await list.read())._unsafeUnwrap()[0]?.id, 'two');
});
