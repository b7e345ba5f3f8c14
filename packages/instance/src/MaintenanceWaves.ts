import type { Clock } from '@apricothoist/common';
import { msPerSecond } from '@apricothoist/common';
import type {
  MachineStatus,
  MaintenanceCall,
  MaintenanceView,
  PendingCall,
  RunnerMaintenance,
} from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';
import { ok } from 'neverthrow';

import type { CoordinationStore } from './CoordinationStore.js';
import { JobEvents } from './events.js';
import { MachineInventory } from './MachineInventory.js';
import type { MaintenancePlatform } from './MachineClient.js';
import { MaintenanceOutcome } from './MachineClient.js';
import type { MaintenanceServices } from './MaintenanceServices.js';
import type { WaveProgress } from './WaveProgress.js';
import { WaveSet } from './WaveSet.js';
import { WaveStore } from './WaveStore.js';

/** Milliseconds between two rounds; short against a maintenance of two seconds. */
const roundIntervalMs = 300;
/**
 * Share of the permitted calls that one holder makes, so that a former one, whose last calls may
 * fall into the same second, does not exceed the rate together with it.
 */
const rateShare = 0.5;
const firstRetryMs = 500;
/** Longest back-off in milliseconds, so that a wave continues soon after an outage. */
const maxRetryMs = 2_000;
/** Milliseconds before a machine that is busy, or that does not exist, is called again. */
const busyRetryMs = 1_000;
const storeFailure = 'the store does not respond';
/** Failed rounds in a row after which runners whose machines were not called are released. */
const releaseAfterFailures = 3;

/** Gauges by name, as in docs/OPERATIONS.md. */
export type MaintenanceStatus = Readonly<Record<string, number>>;

/** Gauges of an instance that does not schedule. */
export const idleMaintenanceStatus: MaintenanceStatus = {
  maintenance_waves: 0,
  maintenance_machines_down: 0,
  maintenance_calls: 0,
  maintenance_failures: 0,
};

/** A machine that was taken down, until a later listing shows it up again. */
interface AwaitedMachine extends PendingCall {
  readonly answeredAt: number;
}

/**
 * Carries out the maintenance waves of the operator during one leadership term. Each round lists the
 * machines, decides, stores the machines to be called, calls them and stores the results; so a
 * successor knows every call that may still be executed. Without a wave, nothing is called.
 */
export class MaintenanceWaves implements Disposable {
  private readonly awaited = new Map<string, AwaitedMachine>();

  private readonly departed = new Set<string>();

  private readonly retryAt = new Map<string, number>();

  private readonly inventory = new MachineInventory();

  private readonly waves: WaveSet;

  /** Monotonic time from which this holder may call, after one that may have called before it. */
  private readonly callsFrom: number;

  private isBusy = false;

  /** Whether nothing may be called any more in this term. */
  private isOver = false;

  private nextRoundAt = -Infinity;

  private hasRoundFailed = false;

  /** Failed rounds in a row. */
  private failures = 0;

  private totalCalls = 0;

  private totalFailures = 0;

  /** @param isHolder whether the lease of the term is valid now */
  public constructor(
    private readonly services: MaintenanceServices,
    store: CoordinationStore,
    private readonly runners: RunnerMaintenance,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly token: number,
    private readonly isHolder: () => boolean,
    private readonly onError: (error: unknown) => void,
  ) {
    const { platform, requests, requestPrefix, unreadable } = services;
    this.callsFrom = clock.monotonic() + platform.holderTurnMs;
    const waveStore = new WaveStore(store, clock, token, platform, requestPrefix, unreadable);
    this.waves = new WaveSet(requests, waveStore, clock, log);
  }

  /** Gauges of what this term does. */
  public get status(): MaintenanceStatus {
    return {
      maintenance_waves: this.waves.open.length,
      maintenance_machines_down: this.awaited.size,
      maintenance_calls: this.totalCalls,
      maintenance_failures: this.totalFailures,
    };
  }

  /** Starts a round if one is due. */
  public step(): void {
    if (this.waves.isEmpty || this.isBusy || this.isOver || this.now < this.nextRoundAt) {
      return;
    }
    this.isBusy = true;
    this.runRound()
      .catch((error: unknown) => {
        this.backOff('unexpected error');
        this.onError(error);
      })
      .finally(() => {
        this.isBusy = false;
      });
  }

  private get now(): number {
    return this.clock.monotonic();
  }

  private get callsPerMs(): number {
    return (this.platform.callsPerS * rateShare) / msPerSecond;
  }

  /** Milliseconds between two rounds; each round makes one call at least. */
  private get intervalMs(): number {
    return Math.max(roundIntervalMs, 1 / this.callsPerMs);
  }

  private get mayCall(): boolean {
    return !this.isOver && !this.waves.isSuperseded && this.isHolder();
  }

  private async runRound(): Promise<void> {
    this.nextRoundAt = this.now + this.intervalMs;
    this.hasRoundFailed = false;
    if (!(await this.waves.update()) || !(await this.waves.write())) {
      this.backOff(storeFailure);
      return;
    }
    // Calls of a former holder may still be executed: nothing starts on their runners.
    this.restrictToCalled(this.runners.prepared);
    if (this.services.requests.waves.size === 0) {
      this.awaited.clear();
    }
    if (this.waves.open.length === 0 && this.awaited.size === 0) {
      this.restrictToCalled([]);
      return;
    }
    const requestedAt = this.now;
    const listed = this.mayCall
      ? await this.platform.machines.list(this.platform.callTimeoutMs)
      : ok([]);
    if (!this.mayCall) {
      return;
    }
    if (listed.isErr() || listed.value.length === 0) {
      this.backOff(listed.isErr() ? listed.error.message : 'no machine is listed');
      return;
    }
    const { namedMachines, begunMachines } = this.waves;
    const { inventory, now } = this;
    const machines = inventory.apply(listed.value, namedMachines, begunMachines, now);
    this.settleAwaited(machines, requestedAt);
    this.waves.judge((machine) => inventory.isGone(machine, now));
    await this.call(this.runners.plan(this.createView(machines), this.now));
    if (!(await this.waves.write())) {
      this.backOff(storeFailure);
    }
    this.recordEnd();
  }

  private get platform(): MaintenancePlatform {
    return this.services.platform;
  }

  // A machine counts as down until a listing that was requested after its call shows it up.
  private settleAwaited(machines: ReadonlyMap<string, MachineStatus>, requestedAt: number): void {
    const { maintenanceMs } = this.platform;
    this.awaited.forEach(({ answeredAt, runnerId }, name) => {
      const machine = machines.get(name);
      const isBack = machine === undefined || machine.isUp;
      if (isBack && requestedAt >= answeredAt + maintenanceMs) {
        this.awaited.delete(name);
        const present = machine?.runnerId;
        if (runnerId !== undefined && present !== undefined && present !== runnerId) {
          this.departed.add(runnerId);
        }
      }
    });
    this.departed.forEach((id) => {
      if (!this.runners.isKnown(id)) {
        this.departed.delete(id);
      }
    });
  }

  private createView(machines: ReadonlyMap<string, MachineStatus>): MaintenanceView {
    const pending = new Map<string, PendingCall>(this.awaited);
    this.waves.pendingCalls.forEach(([machine, call]) => pending.set(machine, call));
    const wallOffsetMs = this.clock.wall() - this.now;
    return {
      waves: this.waves.describe(wallOffsetMs),
      machines,
      pending,
      retryAt: this.retryAt,
      departed: this.departed,
      maintenanceMs: this.platform.maintenanceMs,
      maxCalls:
        this.now < this.callsFrom ? 0 : Math.max(1, Math.floor(this.callsPerMs * this.intervalMs)),
    };
  }

  private async call(calls: readonly MaintenanceCall[]): Promise<void> {
    calls.forEach(({ wave, machine, runnerId }) =>
      this.waves.get(wave)?.recordCall(machine, runnerId),
    );
    // The successor must know each call before it is sent.
    if (!(await this.waves.write())) {
      return;
    }
    await Promise.all(calls.map((call) => this.callMachine(call)));
  }

  private async callMachine({ wave, machine, runnerId }: MaintenanceCall): Promise<void> {
    // The operator may have deleted the wave while the calls were stored.
    if (!this.mayCall || !this.services.requests.waves.has(wave)) {
      return;
    }
    this.totalCalls += 1;
    const { instance, platform } = this.services;
    const caller = { instance, token: this.token };
    const deadline = this.now + platform.callTimeoutMs;
    const outcome = await platform.machines.beginMaintenance(machine, wave, caller, deadline);
    const progress = this.waves.get(wave);
    if (progress !== undefined) {
      this.outcomeHandlers[outcome](progress, machine, runnerId);
    }
  }

  private readonly outcomeHandlers: Readonly<
    Record<
      MaintenanceOutcome,
      (progress: WaveProgress, machine: string, runnerId: string | undefined) => void
    >
  > = {
    [MaintenanceOutcome.begun]: (progress, machine, runnerId) => {
      const call = { wave: progress.wave, runnerId, isAnswered: true, answeredAt: this.now };
      this.awaited.set(machine, call);
      progress.recordBegun(machine);
    },
    [MaintenanceOutcome.fenced]: () => {
      if (!this.isOver) {
        this.isOver = true;
        this.log.emit(JobEvents.maintenanceFenced, { token: this.token });
      }
    },
    [MaintenanceOutcome.busy]: (progress, machine) => {
      this.retryAt.set(machine, this.now + busyRetryMs);
      this.recordUnexecuted(progress, machine);
    },
    [MaintenanceOutcome.notInWave]: (progress, machine) => {
      progress.recordRefused(machine);
      this.log.emit(JobEvents.machineGivenUp, { wave: progress.wave, machine });
    },
    [MaintenanceOutcome.unknownMachine]: (progress, machine) => {
      this.retryAt.set(machine, this.now + busyRetryMs);
      progress.recordUnexecuted(machine);
    },
    [MaintenanceOutcome.refused]: (progress, machine) => {
      this.recordUnexecuted(progress, machine);
      this.backOff(`call for machine ${machine} refused`);
    },
    [MaintenanceOutcome.unknown]: (progress, machine) => {
      const call = progress.open.get(machine);
      if (call !== undefined) {
        call.isUncertain = true;
      }
      this.backOff(`no answer to the call for machine ${machine}`);
    },
  };

  // After an unanswered call, a refusal of the next one does not show that the first was not executed.
  private recordUnexecuted(progress: WaveProgress, machine: string): void {
    if (progress.open.get(machine)?.isUncertain === false) {
      progress.recordUnexecuted(machine);
    }
  }

  private backOff(reason: string): void {
    this.totalFailures += 1;
    if (this.hasRoundFailed) {
      return;
    }
    this.hasRoundFailed = true;
    this.failures += 1;
    const retryMs = Math.min(maxRetryMs, firstRetryMs * 2 ** (this.failures - 1));
    this.nextRoundAt = this.now + retryMs;
    if (this.failures === 1) {
      this.log.emit(JobEvents.maintenanceSuspended, { reason });
    }
    if (this.failures >= releaseAfterFailures) {
      this.restrictToCalled([]);
    }
  }

  private recordEnd(): void {
    if (this.failures > 0 && !this.hasRoundFailed) {
      this.failures = 0;
      this.log.emit(JobEvents.maintenanceResumed);
    }
  }

  /** Keeps the runners of called machines free, and these others. */
  private restrictToCalled(others: readonly string[]): void {
    const ids = new Set([...this.departed, ...others]);
    const calls = [...this.awaited.values(), ...this.waves.pendingCalls.map(([, call]) => call)];
    calls.forEach(({ runnerId }) => {
      if (runnerId !== undefined) {
        ids.add(runnerId);
      }
    });
    this.runners.restrictTo([...ids], this.now);
  }

  public [Symbol.dispose](): void {
    this.isOver = true;
  }
}
