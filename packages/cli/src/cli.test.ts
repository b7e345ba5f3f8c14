import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import test from 'ava';

import { ExitCode } from './ExitCode.js';

interface Finished {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const program = fileURLToPath(new URL('../bin/apricothoist.js', import.meta.url));
const example = (name: string): string =>
  fileURLToPath(new URL(`../../../examples/${name}/configuration.ini`, import.meta.url));

function run(...args: string[]): Promise<Finished> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, stdout, stderr) => {
      resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
    });
  });
}

test('both examples are valid', async (t) => {
  for (const name of ['tallinn', 'listarama']) {
    const { code, stdout } = await run('check', example(name));
    t.is(code, ExitCode.ok);
    t.regex(stdout, /ok, \d+ sections/);
  }
});

test('a broken copy is refused with file, section and key', async (t) => {
  const folder = await mkdtemp(path.join(tmpdir(), 'apricothoist-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = path.join(folder, 'broken.ini');
  const text = await readFile(example('tallinn'), 'utf8');
  await writeFile(file, text.replace('weight = 8', 'weight = heavy'));
  const plain = await run('check', file);
  t.is(plain.code, ExitCode.badInput);
  t.is(plain.stderr, `${file}: [account.hotline] weight: expected a whole number\n`);
  const json = await run('check', file, '--json');
  const { details } = JSON.parse(json.stdout) as { details: { section: string; key: string }[] };
  t.like(details[0], { section: 'account.hotline', key: 'weight' });
});

test('an unreadable file, an unknown command and a missing option are bad input', async (t) => {
  t.is((await run('check', '/no/such/file')).code, ExitCode.badInput);
  t.is((await run('launch')).code, ExitCode.badInput);
  t.is((await run('apply', example('tallinn'), '--expect', '0')).code, ExitCode.badInput);
});

test('an instance that cannot be reached is told apart from a refusal', async (t) => {
  const { code, stderr } = await run('status', '--server', 'http://127.0.0.1:9');
  t.is(code, ExitCode.unavailable);
  t.regex(stderr, /127\.0\.0\.1:9/);
});

test('help lists the commands, examples and exit codes', async (t) => {
  const all = await run('--help');
  t.regex(all.stdout, /explain <job>/);
  t.regex(all.stdout, /Exit codes:/);
  const one = await run('apply', '--help');
  t.regex(one.stdout, /Examples:/);
});
