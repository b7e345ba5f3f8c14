import type { MachineStatus } from '@apricothoist/dispatch';

/**
 * Milliseconds for which a machine has to be missing from all lists to count as gone: a single list may
 * be partial.
 */
const removalTimeoutMs = 10_000;

/** The machines as successive lists of the platform show them. */
export class MachineInventory {
  private readonly lastListed = new Map<string, MachineStatus>();

  /** Monotonic times of the first lists without a machine. */
  private readonly missingSince = new Map<string, number>();

  /**
   * Applies a list; returns the existing machines. One that the list lacks counts as down until it
   * counts as gone.
   *
   * @param named machines of the waves
   * @param begun those that a maintenance has taken down, perhaps under a former holder
   */
  public apply(
    listed: readonly MachineStatus[],
    named: readonly string[],
    begun: readonly string[],
    now: number,
  ): ReadonlyMap<string, MachineStatus> {
    const machines = new Map(listed.map((each) => [each.machine, each]));
    machines.forEach((status, name) => {
      this.lastListed.set(name, status);
      this.missingSince.delete(name);
    });
    new Set([...named, ...this.lastListed.keys()]).forEach((name) => {
      if (!machines.has(name) && !this.missingSince.has(name)) {
        this.missingSince.set(name, now);
      }
    });
    new Set([...begun, ...this.lastListed.keys()]).forEach((machine) => {
      if (this.isGone(machine, now)) {
        this.lastListed.delete(machine);
      } else if (!machines.has(machine)) {
        const runnerId = this.lastListed.get(machine)?.runnerId;
        machines.set(machine, { machine, runnerId, isUp: false });
      }
    });
    return machines;
  }

  public isGone(machine: string, now: number): boolean {
    return now - (this.missingSince.get(machine) ?? now) > removalTimeoutMs;
  }
}
