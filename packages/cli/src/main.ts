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
  1  the result is negative, or an unexpected error occurred
  2  wrong arguments or input; nothing was changed
  3  another operator changed the configuration first; nothing was changed
  4  no instance or no store could be reached; nothing was changed
  5  the change may have been made; check before you repeat the command`;

const parser = yargs(hideBin(process.argv))
  .scriptName('apricothoist')
  .usage('$0 COMMAND\n\nCommand line for operators. FILE may be - for standard input.')
  .option('server', {
    type: 'string',
    default: defaultServer,
    describe: 'URL of the operator API of an instance',
  })
  .option('token-file', { type: 'string', describe: 'file with the operator credential' })
  .option('json', { type: 'boolean', default: false, describe: 'machine-readable output' })
  .command(
    'check <file>',
    'validate a configuration file, offline',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .example('$0 check examples/tallinn/configuration.ini', 'validate an example'),
    (options) => check(createContext(options), options.file),
  )
  .command(
    'diff <file>',
    'compare a file with the current configuration',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .example('$0 diff new.ini', 'show the changes and the revision for --expect'),
    (options) => diff(createContext(options), options.file),
  )
  .command(
    'apply <file>',
    'publish a file as the current configuration',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('expect', {
          type: 'number',
          demandOption: true,
          describe: 'revision that the file was reviewed against, 0 for the first',
        })
        .option('reason', { type: 'string', demandOption: true, describe: 'for the audit trail' })
        .option('author', { type: 'string', default: defaultAuthor })
        .example('$0 apply new.ini --expect 41 --reason "second hotline account"', 'apply'),
    (options) => apply(createContext(options), options.file, options),
  )
  .command(
    'status',
    'show the status of an instance and its view of the deployment',
    (command) => command.example('$0 status --json', 'for scripts'),
    (options) => status(createContext(options)),
  )
  .command(
    'submit <name>',
    'submit a job defined in the configuration',
    (command) =>
      command
        .positional('name', { type: 'string', demandOption: true })
        .option('urgency', { choices: ['urgent', 'normal', 'batch'] })
        .option('expected-minutes', { type: 'number' })
        .option('finish-by', {
          type: 'string',
          describe: 'completion deadline, as an ISO 8601 time',
        })
        .option('wait', {
          type: 'boolean',
          default: false,
          describe: 'wait until the job has ended',
        })
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
    'show the state of a job and the reason for it',
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
        .option('most', {
          type: 'number',
          default: 50,
          describe: 'maximum number of entries, newest first',
        })
        .example('$0 audit --json > audit.json', 'keep a copy'),
    (options) => audit(createContext(options), options.most),
  )
  .demandCommand(1, 'no command given')
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
  new Output(process.argv.includes('--json')).printError(messageOf(error), details);
  process.exitCode = isCommandError ? error.exitCode : ExitCode.failed;
}
