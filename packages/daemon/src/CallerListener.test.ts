import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { delay, Random, Secret, SystemClock } from '@apricothoist/common';
import type { Configuration } from '@apricothoist/config';
import { ConfigurationBuilder, parseConfiguration, printConfiguration } from '@apricothoist/config';
import { ClaimResult } from '@apricothoist/router';
import { EndpointServer } from '@apricothoist/testing';
import test from 'ava';

import { CallerListener } from './CallerListener.js';
import { HttpEndpointSender } from './HttpEndpointSender.js';
import { ServiceRouters } from './ServiceRouters.js';

const clock = new SystemClock();
const maxBodyBytes = 2_000;

function createConfiguration(): Configuration {
  const text = new ConfigurationBuilder({
    name: 'test',
    region: 'north',
    dataCentres: ['a'],
    completionWeight: 0.5,
  })
    .account('team', { weight: 1, requestLimit: 10, acceleratorLimit: 8 })
    .service('service', {
      endpointSlots: 4,
      endpointConnections: 10,
      maxBodyBytes,
      maxHeaderBytes: 1_000,
      timeoutMs: 400,
      retryPercent: 100,
    })
    .print();
  return parseConfiguration(text, 'test')._unsafeUnwrap();
}

interface ListenerFixture extends AsyncDisposable {
  readonly url: string;
  readonly routers: ServiceRouters;
  readonly rejected: string[];
}

async function start(addresses: readonly string[], hasTokens = false): Promise<ListenerFixture> {
  const routers = new ServiceRouters({
    clock,
    instanceId: 'one',
    dataCentre: 'a',
    seed: 1,
    claims: { claim: async () => ClaimResult.granted, release: async () => {} },
    peers: { forward: () => undefined },
    createSender: () => new HttpEndpointSender('one', clock, 10, maxBodyBytes),
  });
  routers.configure(createConfiguration());
  routers.updateListed(
    addresses.map((address, index) => ({
      id: `endpoint-${index}`,
      role: 'endpoint' as const,
      dataCentre: 'a',
      address,
      state: 'live' as const,
      service: 'service',
    })),
  );
  const tokensByAccount = new Map(hasTokens ? [['team', new Secret('caller token')]] : []);
  const listener = new CallerListener(routers, tokensByAccount, clock);
  const rejected: string[] = [];
  listener.onRejected((from) => rejected.push(from));
  const port = await listen(listener.server);
  return {
    url: `http://127.0.0.1:${port}/s/service/run`,
    routers,
    rejected,
    [Symbol.asyncDispose]: async () => {
      listener.server.closeAllConnections();
      await listener[Symbol.asyncDispose]();
      await routers[Symbol.asyncDispose]();
    },
  };
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  return (server.address() as AddressInfo).port;
}

async function startEndpoint(id: string, serviceMs = 5) {
  const endpoint = new EndpointServer(id, 4, serviceMs);
  const address = `127.0.0.1:${await endpoint.listen()}`;
  return { endpoint, address, [Symbol.asyncDispose]: () => endpoint[Symbol.asyncDispose]() };
}

const headers = { 'apricothoist-account': 'team', 'x-request': 'one' };

function post(url: string, body = 'hello', extra: Record<string, string> = {}): Promise<Response> {
  return fetch(url, { method: 'POST', body, headers: { ...headers, ...extra } });
}

test('forwards a request to an endpoint and returns the complete response', async (t) => {
  await using backend = await startEndpoint('e0');
  await using fixture = await start([backend.address]);
  const response = await post(fixture.url);
  t.is(response.status, 200);
  t.deepEqual(await response.json(), { request: 'one', endpoint: 'e0', echo: 'hello' });
});

test('never returns a truncated response as complete', async (t) => {
  await using backend = await startEndpoint('e0');
  backend.endpoint.behaviour.isTruncating = true;
  await using fixture = await start([backend.address]);
  const response = await post(fixture.url);
  t.is(response.status, 502);
  t.is(response.headers.get('apricothoist-outcome'), 'unknown');
});

test('discards a late response', async (t) => {
  await using slow = await startEndpoint('slow', 600);
  await using fixture = await start([slow.address]);
  const late = await post(fixture.url, 'first', { 'x-request': 'first' });
  t.is(late.headers.get('apricothoist-outcome'), 'unknown');
  slow.endpoint.behaviour.serviceMs = 5;
  const next = await post(fixture.url, 'second', { 'x-request': 'second' });
  const body = (await next.json()) as { request: string };
  t.is(body.request, 'second');
});

test('discards a response that belongs to another attempt', async (t) => {
  const server = createServer((_, response) => {
    response.setHeader('apricothoist-attempt', 'someone-else.1');
    response.end('crossed');
  });
  const port = await listen(server);
  await using fixture = await start([`127.0.0.1:${port}`]);
  const response = await post(fixture.url);
  t.is(response.status, 502);
  t.false((await response.text()).includes('crossed'));
  server.closeAllConnections();
  server.close();
});

test('times out on an unresponsive connection and uses another one for the next request', async (t) => {
  await using backend = await startEndpoint('e0');
  backend.endpoint.behaviour.isSilent = true;
  await using fixture = await start([backend.address]);
  t.is((await post(fixture.url)).headers.get('apricothoist-outcome'), 'unknown');
  backend.endpoint.behaviour.isSilent = false;
  t.is((await post(fixture.url)).status, 200);
});

test('a refusal states that the request did not run and when to retry', async (t) => {
  await using fixture = await start([]);
  const startedAt = performance.now();
  const response = await post(fixture.url);
  t.is(response.status, 503);
  t.is(response.headers.get('apricothoist-outcome'), 'not-run');
  t.is(response.headers.get('apricothoist-reason'), 'noEndpoint');
  t.true(Number(response.headers.get('retry-after')) >= 1);
  t.true(performance.now() - startedAt < 2_000);
});

test('retries on another endpoint if a connection is refused', async (t) => {
  await using backend = await startEndpoint('e1');
  await using fixture = await start(['127.0.0.1:9', backend.address]);
  for (let index = 0; index < 10; index += 1) {
    t.is((await post(fixture.url, 'x', { 'idempotency-key': `k${index}` })).status, 200);
  }
});

test('sends no further requests to an endpoint that reports it is leaving', async (t) => {
  await using leaving = await startEndpoint('e0');
  await using staying = await startEndpoint('e1');
  leaving.endpoint.behaviour.isLeaving = true;
  await using fixture = await start([leaving.address, staying.address]);
  const reportedIds: string[] = [];
  fixture.routers.onEndpointLeaving((id) => reportedIds.push(id));
  for (let index = 0; index < 20; index += 1) {
    t.is((await post(fixture.url)).status, 200);
  }
  t.deepEqual(reportedIds, ['endpoint-0']);
  t.is(leaving.endpoint.runs.size, 0);
});

test('rejects oversized bodies and headers', async (t) => {
  await using backend = await startEndpoint('e0');
  await using fixture = await start([backend.address]);
  t.is((await post(fixture.url, 'x'.repeat(maxBodyBytes + 1))).status, 413);
  t.is((await post(fixture.url, 'x', { 'x-large': 'y'.repeat(2_000) })).status, 431);
  t.is((await post(fixture.url)).status, 200);
});

test('names the header in the response to an invalid header value', async (t) => {
  await using fixture = await start([]);
  for (const [name, value] of [
    ['apricothoist-urgency', 'very'],
    ['apricothoist-timeout-ms', '-5'],
    ['apricothoist-idempotent', 'perhaps'],
  ] as const) {
    const response = await post(fixture.url, 'x', { [name]: value });
    t.is(response.status, 400);
    t.regex(await response.text(), new RegExp(name));
  }
});

test('requires a caller credential and does not repeat a wrong one in the response', async (t) => {
  await using backend = await startEndpoint('e0');
  await using fixture = await start([backend.address], true);
  const wrong = await post(fixture.url, 'x', { authorization: 'Bearer wrong token' });
  t.is(wrong.status, 401);
  t.false((await wrong.text()).includes('wrong token'));
  t.is(fixture.rejected.length, 1);
  const right = await post(fixture.url, 'x', { authorization: 'Bearer caller token' });
  t.is(right.status, 200);
});

test('refuses requests with notReady before a configuration is applied', async (t) => {
  const routers = new ServiceRouters({
    clock,
    instanceId: 'one',
    dataCentre: 'a',
    seed: new Random(1).below(10),
    claims: { claim: async () => ClaimResult.granted, release: async () => {} },
    peers: { forward: () => undefined },
    createSender: () => new HttpEndpointSender('one', clock, 10, maxBodyBytes),
  });
  const listener = new CallerListener(routers, new Map(), clock);
  const port = await listen(listener.server);
  const response = await post(`http://127.0.0.1:${port}/s/service/run`);
  t.is(response.status, 503);
  t.is(response.headers.get('apricothoist-reason'), 'notReady');
  listener.server.closeAllConnections();
  await listener[Symbol.asyncDispose]();
});

test('finishes open requests and accepts new ones when a service section changes', async (t) => {
  await using backend = await startEndpoint('e0', 150);
  await using fixture = await start([backend.address]);
  const open = post(fixture.url, 'first');
  await delay(50);
  const text = printConfiguration(createConfiguration()).replace(
    'timeout-ms = 400',
    'timeout-ms = 900',
  );
  fixture.routers.configure(parseConfiguration(text, 'test')._unsafeUnwrap());
  t.is((await post(fixture.url, 'second')).status, 200);
  t.is((await open).status, 200);
});
