import process from 'node:process';

import { messageOf } from '@apricothoist/common';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { CommandContext } from './CommandContext.js';
import { CommandError } from './CommandError.js';
import { apply } from './commands/apply.js';
import { audit } from './commands/audit.js';
import { cancel } from './commands/cancel.js';
import { check } from './commands/check.js';
import { diff } from './commands/diff.js';
import { explain } from './commands/explain.js';
import { jobs } from './commands/jobs.js';
import { status } from './commands/status.js';
import { submit } from './commands/submit.js';
import { ExitCode } from './ExitCode.js';
import { OperatorClient } from './OperatorClient.js';
import { Output } from './Output.js';

const defaultServer = process.env.APRICOTHOIST_SERVER ?? 'http://127.0.0.1:7002';
const defaultAuthor = process.env.USER ?? 'operator';

interface GlobalOptions {
  readonly server: string;
  readonly 'token-file'?: string;
  readonly json: boolean;
}

function createContext(options: GlobalOptions): CommandContext {
  const { server, 'token-file': tokenFile } = options;
  return {
    output: new Output(options.json),
    client: () => new OperatorClient({ server, tokenFile }),
  };
}

const exitCodes = `Exit codes:
  0  done
  1  the answer is no, or something unexpected failed
  2  wrong arguments or input; nothing was changed
  3  another operator's change came first; nothing was changed
  4  no instance or no store can be reached; nothing was changed
  5  the change may have been made; look before repeating it`;

const parser = yargs(hideBin(process.argv))
  .scriptName('apricothoist')
  .usage('$0 COMMAND\n\nThe operators’ command line. FILE may be - for standard input.')
  .option('server', { type: 'string', default: defaultServer, describe: 'operator address' })
  .option('token-file', { type: 'string', describe: 'file with the operator credential' })
  .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
  .command(
    'check <file>',
    'check a configuration file, offline',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .example('$0 check examples/tallinn/configuration.ini', 'check an example'),
    (options) => check(createContext(options), options.file),
  )
  .command(
    'diff <file>',
    'compare a file with the configuration in force',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .example('$0 diff new.ini', 'show the changes and the revision to expect'),
    (options) => diff(createContext(options), options.file),
  )
  .command(
    'apply <file>',
    'make a file the configuration in force',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('expect', {
          type: 'number',
          demandOption: true,
          describe: 'revision that was reviewed, 0 for the first',
        })
        .option('reason', { type: 'string', demandOption: true, describe: 'for the audit trail' })
        .option('author', { type: 'string', default: defaultAuthor })
        .example('$0 apply new.ini --expect 41 --reason "second hotline account"', 'apply'),
    (options) => apply(createContext(options), options.file, options),
  )
  .command(
    'status',
    'show what an instance says about itself and sees',
    (command) => command.example('$0 status --json', 'for scripts'),
    (options) => status(createContext(options)),
  )
  .command(
    'submit <name>',
    'submit a job that the configuration describes',
    (command) =>
      command
        .positional('name', { type: 'string', demandOption: true })
        .option('urgency', { choices: ['urgent', 'normal', 'batch'] })
        .option('expected-minutes', { type: 'number' })
        .option('finish-by', { type: 'string', describe: 'time in ISO 8601' })
        .option('wait', { type: 'boolean', default: false, describe: 'wait for the end' })
        .example('$0 submit network-matching --finish-by 2026-01-31T06:00:00Z', 'by the morning'),
    (options) => submit(createContext(options), options.name, options),
  )
  .command(
    'jobs',
    'list jobs',
    (command) =>
      command
        .option('data-centre', { type: 'string' })
        .option('account', { type: 'string' })
        .example('$0 jobs --account hotline', 'jobs of one account'),
    (options) => jobs(createContext(options), options),
  )
  .command(
    'cancel <jobs..>',
    'cancel jobs',
    (command) =>
      command
        .positional('jobs', { type: 'string', array: true, demandOption: true })
        .example('$0 cancel 0a1b… 2c3d…', 'cancel two jobs'),
    (options) => cancel(createContext(options), options.jobs),
  )
  .command(
    'explain <job>',
    'say why a job is where it is',
    (command) =>
      command
        .positional('job', { type: 'string', demandOption: true })
        .example('$0 explain 0a1b…', 'one job'),
    (options) => explain(createContext(options), options.job),
  )
  .command(
    'audit',
    'print the audit trail of configuration changes',
    (command) =>
      command
        .option('most', { type: 'number', default: 50, describe: 'entries, newest first' })
        .example('$0 audit --json > audit.json', 'keep a copy'),
    (options) => audit(createContext(options), options.most),
  )
  .demandCommand(1, 'a command is needed')
  .strict()
  .epilogue(exitCodes)
  .exitProcess(false)
  .fail((message, error) => {
    throw error ?? new CommandError(ExitCode.badInput, message);
  });

try {
  await parser.parseAsync();
} catch (error) {
  const isCommandError = error instanceof CommandError;
  const details = isCommandError ? error.details : undefined;
  new Output(process.argv.includes('--json')).problem(messageOf(error), details);
  process.exitCode = isCommandError ? error.exitCode : ExitCode.failed;
}
