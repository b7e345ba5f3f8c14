import process from 'node:process';

import { listarama, tallinn } from './index.js';

const builders = new Map([
  ['tallinn', tallinn],
  ['listarama', listarama],
]);
const [, , name = ''] = process.argv;
const builder = builders.get(name);
if (builder === undefined) {
  process.stderr.write(`expected one of: ${[...builders.keys()].join(', ')}\n`);
  process.exitCode = 2;
} else {
  process.stdout.write(builder.print());
}
