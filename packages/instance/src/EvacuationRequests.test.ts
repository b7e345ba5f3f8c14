import test from 'ava';

import { EvacuationRequests } from './EvacuationRequests.js';

const prefix = 'evacuate/';
const request = (
  name: string,
  revision: number,
): { key: string; value: string; revision: number } => ({
  key: `${prefix}${name}`,
  value: '{}',
  revision,
});

test('several data centres, one withdrawn and requested again', (t) => {
  const requests = new EvacuationRequests(prefix);
  const other = { key: 'configuration', value: '1', revision: 3 };
  const read = { items: [other, request('a', 4), request('b', 5)], revision: 5 };
  requests.apply({ ...read, requestedAt: 10, isComplete: true });
  t.deepEqual([...requests.dataCentres], ['a', 'b']);
  const deletion = { key: `${prefix}a`, revision: 6 };
  requests.apply({ items: [deletion], requestedAt: 20, revision: 6, isComplete: false });
  t.deepEqual([...requests.dataCentres], ['b']);
  requests.apply({ items: [request('a', 7)], requestedAt: 30, revision: 7, isComplete: false });
  t.deepEqual([...requests.dataCentres].sort(), ['a', 'b']);
  t.is(requests.confirmedAt, 30);
});

// A watch that is cut while the history is dropped never delivers the deletion.
test('a complete read withdraws the requests that it does not contain', (t) => {
  const requests = new EvacuationRequests(prefix);
  requests.apply({ items: [request('a', 4)], requestedAt: 10, revision: 4, isComplete: true });
  requests.apply({ items: [], requestedAt: 20, revision: 9, isComplete: true });
  t.is(requests.dataCentres.size, 0);
});

// The periodic read runs beside the watch, and over a slow link its answer is seconds old.
test('a complete read that is answered late undoes no newer change', (t) => {
  const requests = new EvacuationRequests(prefix);
  requests.apply({ items: [request('a', 4)], requestedAt: 10, revision: 4, isComplete: true });
  const deletion = { key: `${prefix}a`, revision: 6 };
  const changes = { items: [deletion, request('b', 7)], revision: 7 };
  requests.apply({ ...changes, requestedAt: 30, isComplete: false });
  requests.apply({ items: [request('a', 4)], requestedAt: 20, revision: 5, isComplete: true });
  t.deepEqual([...requests.dataCentres], ['b']);
});
