import process from 'node:process';

import { messageOf, SystemClock } from '@apricothoist/common';
import { EventLog } from '@apricothoist/telemetry';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { EventKinds } from './events.js';
import { Instance } from './Instance.js';
import type { Settings } from './Settings.js';
import { readCredentials, readSettings } from './Settings.js';

/** Process exit codes. */
const ExitCode = { stopped: 0, failed: 1, badSettings: 2 } as const;

async function runInstance(settings: Settings, settingsFile: string): Promise<void> {
  const { name } = settings.instance;
  const clock = new SystemClock();
  const log = new EventLog(name, settings.log.level, settings.log.format, clock);
  const exit = (code: number): void => {
    log[Symbol.asyncDispose]().then(
      () => process.exit(code),
      () => process.exit(code),
    );
  };
  const credentials = readCredentials(settings, settingsFile);
  if (credentials.isErr()) {
    process.stderr.write(`${credentials.error.message}\n`);
    process.exit(ExitCode.badSettings);
  }
  const instance = new Instance(settings, credentials.value, clock, log);
  const stop = (): void => {
    instance.stop().then(
      () => exit(ExitCode.stopped),
      (error: unknown) => {
        log.emit(EventKinds.internalError, { message: messageOf(error) });
        exit(ExitCode.failed);
      },
    );
  };
  process.on('unhandledRejection', (error) => {
    log.emit(EventKinds.internalError, { message: messageOf(error) });
  });
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    await instance.start();
  } catch (error) {
    log.emit(EventKinds.startFailed, { message: messageOf(error) });
    exit(ExitCode.failed);
  }
}

const options = await yargs(hideBin(process.argv))
  .scriptName('apricothoistd')
  .usage('$0 --settings FILE\n\nRuns one entry instance. SIGTERM stops it gracefully.')
  .option('settings', { type: 'string', demandOption: true, describe: 'settings file (INI)' })
  .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
  .example('$0 --settings /etc/apricothoist/instance.ini', 'run an instance')
  .strict()
  .parseAsync();

const settings = readSettings(options.settings);
if (settings.isErr()) {
  process.stderr.write(`${settings.error.message}\n`);
  process.exit(ExitCode.badSettings);
} else if (options.check) {
  process.stdout.write(`${options.settings}: ok\n`);
} else {
  await runInstance(settings.value, options.settings);
}
