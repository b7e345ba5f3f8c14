import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import type { StandInOptions, StandInReady } from '@apricothoist/testing';

/** A process of the demo, ended with it. */
export class DemoProcess implements AsyncDisposable {
  public constructor(
    public readonly name: string,
    private readonly child: ChildProcess,
  ) {}

  public get pid(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal to the process. */
  public signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Resolves with the exit code, null when a signal ended the process. */
  public async exit(): Promise<number | null> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.signal('SIGKILL');
    await this.exit();
  }
}

/** A stand-in process with the ports that it listens on. */
export interface StandIn {
  readonly process: DemoProcess;
  readonly ports: readonly number[];
}

/** Starts a stand-in and waits until it listens. */
export async function startStandIn(name: string, options: StandInOptions): Promise<StandIn> {
  const script = fileURLToPath(import.meta.resolve('@apricothoist/testing/standIn'));
  const child = spawn(process.execPath, [script, JSON.stringify(options)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, 'line')) as [string];
  const { ports } = JSON.parse(line) as StandInReady;
  return { process: new DemoProcess(name, child), ports };
}
