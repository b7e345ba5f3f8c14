import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import type { FakeServerOptions, FakeServersReady } from '@apricothoist/testing';

/** A child process of the demo deployment; disposal kills it. */
export class DemoProcess implements AsyncDisposable {
  public constructor(
    public readonly name: string,
    private readonly child: ChildProcess,
  ) {}

  public get pid(): number | undefined {
    return this.child.pid;
  }

  public sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits for the process to exit; resolves to its exit code, or null if a signal ended it. */
  public async waitForExit(): Promise<number | null> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.sendSignal('SIGKILL');
    await this.waitForExit();
  }
}

/** A process with one or more fake servers, and the ports they listen on. */
export interface FakeServerProcess {
  readonly process: DemoProcess;
  readonly ports: readonly number[];
}

/** Starts a process with fake servers and waits until they listen. */
export async function startFakeServerProcess(
  name: string,
  options: FakeServerOptions,
): Promise<FakeServerProcess> {
  const script = fileURLToPath(import.meta.resolve('@apricothoist/testing/fakeServers'));
  const child = spawn(process.execPath, [script, JSON.stringify(options)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, 'line')) as [string];
  const { ports } = JSON.parse(line) as FakeServersReady;
  return { process: new DemoProcess(name, child), ports };
}
