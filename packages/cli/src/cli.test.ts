import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import test from 'ava';

import { ExitCode } from './ExitCode.js';

interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const program = fileURLToPath(new URL('../bin/apricothoist.js', import.meta.url));
const examplePath = (name: string): string =>
  fileURLToPath(new URL(`../../../examples/${name}/configuration.ini`, import.meta.url));

function run(...args: string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, stdout, stderr) => {
      resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
    });
  });
}

test('both examples are valid', async (t) => {
  for (const name of ['tallinn', 'listarama']) {
    const { code, stdout } = await run('check', examplePath(name));
    t.is(code, ExitCode.ok);
    t.regex(stdout, /ok, \d+ sections/);
  }
});

test('an invalid file is rejected with the file, section and key of the error', async (t) => {
  const folder = await mkdtemp(path.join(tmpdir(), 'apricothoist-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = path.join(folder, 'invalid.ini');
  const text = await readFile(examplePath('tallinn'), 'utf8');
  await writeFile(file, text.replace('weight = 8', 'weight = heavy'));
  const textResult = await run('check', file);
  t.is(textResult.code, ExitCode.badInput);
  t.is(textResult.stderr, `${file}: [account.hotline] weight: expected a whole number\n`);
  const jsonResult = await run('check', file, '--json');
  const { details } = JSON.parse(jsonResult.stdout) as {
    details: { section: string; key: string }[];
  };
  t.like(details[0], { section: 'account.hotline', key: 'weight' });
});

test('an unreadable file, an unknown command and a missing option are bad input', async (t) => {
  t.is((await run('check', '/no/such/file')).code, ExitCode.badInput);
  t.is((await run('launch')).code, ExitCode.badInput);
  t.is((await run('apply', examplePath('tallinn'), '--expect', '0')).code, ExitCode.badInput);
});

test('an unreachable instance has an exit code of its own', async (t) => {
  const { code, stderr } = await run('status', '--server', 'http://127.0.0.1:9');
  t.is(code, ExitCode.unavailable);
  t.regex(stderr, /127\.0\.0\.1:9/);
});

test('help lists the commands, examples and exit codes', async (t) => {
  const general = await run('--help');
  t.regex(general.stdout, /explain <job>/);
  t.regex(general.stdout, /Exit codes:/);
  const forCommand = await run('apply', '--help');
  t.regex(forCommand.stdout, /Examples:/);
});
