import type { DispatchState } from './DispatchState.js';
import { coveredJobs, peakAccelerators } from './Guarantees.js';
import type { MaintenanceView, MaintenanceWave } from './MaintenancePlan.js';
import type { Runner } from './Runner.js';
import { isLastingCapacity } from './RunnerAvailability.js';

/** What may still be taken down: limits of the waves and guarantees of the accounts. */
export class MaintenanceRoom {
  private readonly downByWave = new Map<MaintenanceWave, number>();

  /** Accelerators beyond those that the guarantees need, by service. */
  private readonly spareAccelerators = new Map<string, number>();

  /** Runners whose accelerators count. */
  private readonly counted = new Set<Runner>();

  public constructor(state: DispatchState, { waves, machines, pending }: MaintenanceView) {
    const isDown = (name: string): boolean =>
      pending.has(name) || machines.get(name)?.isUp === false;
    waves.forEach((wave) => this.downByWave.set(wave, [...wave.machines].filter(isDown).length));
    const away = new Set<string | undefined>();
    pending.forEach(({ runnerId }) => away.add(runnerId));
    machines.forEach(({ machine, runnerId }) => {
      if (isDown(machine)) {
        away.add(runnerId);
      }
    });
    state.runners.forEach((runner) => {
      if (isLastingCapacity(state, runner) && !away.has(runner.id)) {
        this.counted.add(runner);
        this.addSpare(runner.listed.service, runner.listed.capacity.accelerators);
      }
    });
    coveredJobs(state.openJobs, state.accounts).forEach((job) =>
      this.addSpare(job.specification.service, -peakAccelerators(job)),
    );
  }

  /** Takes room for a machine, if the limits leave any. */
  public take(machine: string, runner: Runner | undefined): boolean {
    const waves = this.wavesOf(machine);
    const hasRoom = waves.every((wave) => (this.downByWave.get(wave) ?? 0) < wave.maxCount);
    if (!hasRoom || !this.isSpare(runner)) {
      return false;
    }
    this.change(machine, runner, 1);
    return true;
  }

  public giveBack(machine: string, runner: Runner | undefined): void {
    this.change(machine, runner, -1);
  }

  private change(machine: string, runner: Runner | undefined, count: number): void {
    this.wavesOf(machine).forEach((wave) =>
      this.downByWave.set(wave, (this.downByWave.get(wave) ?? 0) + count),
    );
    if (runner !== undefined && this.counted.has(runner)) {
      this.addSpare(runner.listed.service, -count * runner.listed.capacity.accelerators);
    }
  }

  private isSpare(runner: Runner | undefined): boolean {
    if (runner === undefined || !this.counted.has(runner)) {
      return true;
    }
    const { service, capacity } = runner.listed;
    const { accelerators } = capacity;
    return accelerators === 0 || accelerators <= (this.spareAccelerators.get(service) ?? 0);
  }

  private wavesOf(machine: string): MaintenanceWave[] {
    return [...this.downByWave.keys()].filter(({ machines }) => machines.has(machine));
  }

  private addSpare(service: string, accelerators: number): void {
    this.spareAccelerators.set(service, (this.spareAccelerators.get(service) ?? 0) + accelerators);
  }
}
