import { readFileSync } from 'node:fs';

import test from 'ava';

import { diffConfiguration, parseConfiguration, printConfiguration } from '@apricothoist/config';
import { listarama, tallinn } from './index.js';

const examples = [
  { name: 'tallinn', builder: tallinn },
  { name: 'listarama', builder: listarama },
];

for (const { name, builder } of examples) {
  const file = new URL(`../${name}/configuration.ini`, import.meta.url);

  test(`the committed configuration of ${name} is what its program prints`, (t) => {
    t.is(readFileSync(file, 'utf8'), builder.print());
  });

  test(`printing the parsed configuration of ${name} gives the same bytes`, (t) => {
    const text = builder.print();
    const parsed = parseConfiguration(text, name)._unsafeUnwrap();
    t.is(printConfiguration(parsed), text);
  });
}

test('a changed value is a one-line difference', (t) => {
  const before = tallinn.print();
  const after = before.replace('weight = 8', 'weight = 9');
  t.deepEqual(diffConfiguration(before, after), [
    { kind: 'changed', section: 'account.hotline', key: 'weight', from: '8', to: '9' },
  ]);
});
