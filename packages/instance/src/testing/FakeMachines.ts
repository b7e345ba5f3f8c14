import { delay } from '@apricothoist/common';
import type { MachineStatus } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { MachineCaller, MachineClient } from '../MachineClient.js';
import { MachineError, MaintenanceOutcome } from '../MachineClient.js';

export const maintenanceMs = 2_000;
const latencyMs = 5;

/** Machines in virtual time, whose answers a test may withhold or replace. */
export class FakeMachines implements MachineClient {
  /** Runner of each existing machine; `mN` starts as `rN`. */
  public readonly runners = new Map<string, string>();

  /** Machines that are down, with the monotonic time at which they are up again. */
  private readonly downUntil = new Map<string, number>();

  /** Maintenance that was done, as `wave machine`. */
  public readonly done: string[] = [];

  public readonly calls: (MachineCaller & { wave: string; machine: string; at: number })[] = [];

  public lists = 0;

  /** Largest number of machines that were down at the same time. */
  public maxDown = 0;

  public isSilent = false;

  /** Machines that the lists lack, although they exist. */
  public readonly unlisted = new Set<string>();

  private newestToken = 0;

  /** Answers a call in place of the machine; undefined to execute it. */
  public answer: (machine: string) => MaintenanceOutcome | undefined = () => undefined;

  /** Milliseconds until a call without a response is executed; undefined if it gets a response. */
  public lateMs: (machine: string) => number | undefined = () => undefined;

  /** Takes the runner of a machine down; by default its next one has another id. */
  public takeDown = (machine: string): void => {
    this.runners.set(machine, `${this.runners.get(machine)}'`);
  };

  public constructor(
    names: readonly string[],
    private readonly now: () => number = () => Date.now(),
  ) {
    names.forEach((name) => this.runners.set(name, name.replace('m', 'r')));
  }

  public async list(timeoutMs: number): Promise<Result<readonly MachineStatus[], MachineError>> {
    this.lists += 1;
    await delay(this.isSilent ? timeoutMs : latencyMs);
    if (this.isSilent) {
      return err(new MachineError('unavailable', 'no answer'));
    }
    return ok(
      [...this.runners]
        .filter(([machine]) => !this.unlisted.has(machine))
        .map(([machine, runnerId]) => ({ machine, runnerId, isUp: !this.isDown(machine) })),
    );
  }

  public async beginMaintenance(
    machine: string,
    wave: string,
    caller: MachineCaller,
    deadline: number,
  ): Promise<MaintenanceOutcome> {
    this.calls.push({ ...caller, wave, machine, at: this.now() });
    const lateMs = this.lateMs(machine);
    if (lateMs !== undefined || this.isSilent) {
      setTimeout(() => this.execute(machine, wave, caller.token), lateMs ?? 0);
      await delay(deadline - this.now());
      return MaintenanceOutcome.unknown;
    }
    await delay(latencyMs);
    return this.answer(machine) ?? this.execute(machine, wave, caller.token);
  }

  /** Executes a call as it arrives at the machine. */
  public execute(machine: string, wave: string, token: number): MaintenanceOutcome {
    if (token < this.newestToken) {
      return MaintenanceOutcome.fenced;
    }
    this.newestToken = token;
    const name = `${wave} ${machine}`;
    if (!this.runners.has(machine)) {
      return MaintenanceOutcome.unknownMachine;
    }
    if (this.done.includes(name)) {
      return MaintenanceOutcome.begun;
    }
    if (this.isDown(machine)) {
      return MaintenanceOutcome.busy;
    }
    this.done.push(name);
    this.downUntil.set(machine, this.now() + maintenanceMs);
    this.takeDown(machine);
    const down = [...this.runners.keys()].filter((each) => this.isDown(each));
    this.maxDown = Math.max(this.maxDown, down.length);
    return MaintenanceOutcome.begun;
  }

  private isDown(machine: string): boolean {
    return (this.downUntil.get(machine) ?? 0) > this.now();
  }
}
