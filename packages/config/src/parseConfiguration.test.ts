import test from 'ava';
import fc from 'fast-check';

import { Adjacency } from './Configuration.js';
import { ConfigurationBuilder } from './ConfigurationBuilder.js';
import { ConfigurationError, ConfigurationErrorKind } from './ConfigurationError.js';
import { describeChange, diffConfiguration } from './diffConfiguration.js';
import { maxConfigurationBytes, parseConfiguration } from './parseConfiguration.js';
import { printConfiguration } from './printConfiguration.js';

const pool = {
  count: 6,
  workersPerRack: 3,
  cores: 8,
  memoryGb: 8,
  accelerators: 8,
  guards: true,
};

function createBuilder(): ConfigurationBuilder {
  return new ConfigurationBuilder({
    name: 'demo',
    region: 'north',
    dataCentres: ['a', 'b'],
    completionWeight: 0.5,
  })
    .account('team', { weight: 1, requestLimit: 10, acceleratorLimit: 48 })
    .workers('a', pool);
}

const shape = { workers: 2, acceleratorsPerWorker: 8, adjacency: Adjacency.rack };
const valid = createBuilder()
  .guarantee('pair', { account: 'team', dataCentre: 'a', shape, count: 1 })
  .print();

function faultOf(text: string): string {
  const parsed = parseConfiguration(text, 'file.ini');
  return parsed.isErr() ? parsed.error.message : '';
}

test('a fault contains the file, section, key and expected value', (t) => {
  t.is(
    faultOf(valid.replace('count = 1', 'count = many')),
    'file.ini: [guarantee.pair] count: expected a whole number',
  );
  t.is(
    faultOf(valid.replace('request-limit = 10', 'request-limit = 10\nspeed = 3')),
    'file.ini: [account.team] speed: unknown key',
  );
  t.regex(faultOf(valid.replace('weight = 1\n', '')), /\[account\.team\] weight: missing/);
  t.regex(faultOf(valid.replace('adjacency = rack', 'adjacency = near')), /adjacency: .*"rack"/);
  t.is(faultOf(`${valid}\n[team]\nx = 1\n`), 'file.ini: [] team: unknown key');
});

test('a duplicate key is a fault', (t) => {
  t.is(
    faultOf(valid.replace('weight = 1\n', 'weight = 1\nweight = 2\n')),
    'file.ini: [account.team] weight: stands twice',
  );
});

test('references to undefined names are faults', (t) => {
  t.regex(
    faultOf(valid.replace('account = team', 'account = teem')),
    /account "teem" has no section/,
  );
});

test('shapes and guarantees that exceed the worker pool are faults', (t) => {
  t.regex(faultOf(valid.replace('workers = 2', 'workers = 4')), /expected at most 3/);
  t.regex(
    faultOf(valid.replace('count = 1', 'count = 4')),
    /guarantees promise 64 accelerators, the workers have 48/,
  );
});

test('the builder rejects an invalid configuration', (t) => {
  const builder = createBuilder().guarantee('pair', {
    account: 'nobody',
    dataCentre: 'a',
    shape,
    count: 1,
  });
  const error = t.throws(() => builder.print(), { instanceOf: ConfigurationError });
  t.is(error?.kind, ConfigurationErrorKind.reference);
});

test('an oversized text is rejected before it is parsed', (t) => {
  t.regex(faultOf('#'.repeat(maxConfigurationBytes + 1)), /expected at most/);
});

test('parsing arbitrary text never throws', (t) => {
  const line = fc.oneof(
    fc.string(),
    fc.constantFrom('[account.team]', '[deployment]', 'weight = 1', '[__proto__]', 'a[] = 1'),
    fc.string().map((key) => `${key} = ${key}`),
  );
  fc.assert(
    fc.property(fc.array(line, { maxLength: 12 }), (lines) => {
      parseConfiguration(lines.join('\n'), 'any');
      parseConfiguration(`${valid}\n${lines.join('\n')}`, 'any');
    }),
    { seed: 5, numRuns: 500 },
  );
  t.pass();
});

test('printing and parsing round-trip, independent of the order in which sections were added', (t) => {
  const account = fc.record({
    weight: fc.integer({ min: 1, max: 1_000 }),
    requestLimit: fc.integer({ min: 1, max: 10_000 }),
    acceleratorLimit: fc.integer({ min: 1, max: 10_000 }),
  });
  const name = fc.stringMatching(/^[a-z][a-z0-9-]{0,10}$/);
  fc.assert(
    fc.property(fc.dictionary(name, account, { maxKeys: 6 }), (accounts) => {
      const entries = Object.entries(accounts);
      const build = (list: typeof entries): string =>
        list
          .reduce((builder, [key, value]) => builder.account(key, value), createBuilder())
          .print();
      const text = build(entries);
      t.is(text, build(entries.toReversed()));
      t.is(printConfiguration(parseConfiguration(text, 'x')._unsafeUnwrap()), text);
    }),
    { seed: 6, numRuns: 100 },
  );
});

test('differences are reported by section and key', (t) => {
  const after = valid.replace('weight = 1', 'weight = 2').replace('guards = true\n', '');
  t.deepEqual(diffConfiguration(valid, after).map(describeChange), [
    '~ [account.team] weight = 1 -> 2',
    '- [workers.a] guards = true',
  ]);
});
