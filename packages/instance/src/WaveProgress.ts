import type { MaintenanceWave, PendingCall } from '@apricothoist/dispatch';

import type { MaintenanceRecord } from './StoredJob.js';
import type { RequestedWave } from './WaveRequests.js';

/** A call whose result is not stored yet. */
export interface OpenCall {
  /** Runner on the machine when the call was decided; empty if there was none. */
  readonly runnerId: string;
  /**
   * Whether some call may still be executed, so that a refusal of another one proves nothing. Always
   * so for the calls of a former holder.
   */
  isUncertain: boolean;
  /** Whether the maintenance has begun; it counts as done once that is stored. */
  isBegun: boolean;
}

/** How far a maintenance wave is, as stored for a successor. */
export class WaveProgress {
  public readonly open = new Map<string, OpenCall>();

  private readonly begun: Set<string>;

  private readonly refused: Set<string>;

  private deadline: number;

  public isCompleted: boolean;

  /** Whether there are changes that are not stored. */
  public isDirty: boolean;

  /** Whether the shown status has to be written. */
  public isStatusDue: boolean;

  private revision: number;

  /** @param record what the holder has stored before; undefined for a new wave */
  public constructor(
    public readonly wave: string,
    public request: RequestedWave,
    record: MaintenanceRecord | undefined,
    wallNow: number,
  ) {
    this.begun = new Set(record?.begun);
    this.refused = new Set(record?.refused);
    this.deadline = record?.deadline ?? wallNow + request.durationMs;
    this.isCompleted = record?.isCompleted ?? false;
    this.revision = record?.revision ?? request.revision;
    this.isDirty = record === undefined;
    this.isStatusDue = record === undefined;
    record?.called.forEach(([machine, runnerId]) =>
      this.open.set(machine, { runnerId, isUncertain: true, isBegun: false }),
    );
    this.update(request, wallNow);
  }

  /** Applies a change of the operator's request. */
  public update(request: RequestedWave, wallNow: number): void {
    this.request = request;
    if (request.revision === this.revision) {
      return;
    }
    this.revision = request.revision;
    this.deadline = wallNow + request.durationMs;
    this.refused.clear();
    this.isCompleted = false;
    this.isDirty = true;
    this.isStatusDue = true;
    const machines = new Set(request.machines);
    this.open.forEach((_call, machine) => {
      if (!machines.has(machine)) {
        this.open.delete(machine);
      }
    });
  }

  public get begunMachines(): readonly string[] {
    return [...this.begun];
  }

  /** Machines whose maintenance has not begun. */
  public get waiting(): readonly string[] {
    return this.request.machines.filter((name) => !this.begun.has(name) && !this.refused.has(name));
  }

  /** Records that a call is about to be sent. */
  public recordCall(machine: string, runnerId: string | undefined): void {
    if (!this.open.has(machine)) {
      this.open.set(machine, { runnerId: runnerId ?? '', isUncertain: false, isBegun: false });
      this.isDirty = true;
    }
  }

  /** Records that no call for the machine has been or will be executed. */
  public recordUnexecuted(machine: string): void {
    this.open.delete(machine);
    this.isDirty = true;
  }

  /** Gives a machine up that is not part of the wave. */
  public recordRefused(machine: string): void {
    this.recordUnexecuted(machine);
    this.refused.add(machine);
  }

  public recordBegun(machine: string): void {
    const call = this.open.get(machine);
    if (call !== undefined) {
      call.isBegun = true;
      this.isDirty = true;
    }
  }

  public recordCompleted(): void {
    this.isCompleted = true;
    this.isDirty = true;
    this.isStatusDue = true;
  }

  /** Counts the maintenance of machines as done, once that is stored. */
  public settle(machines: readonly string[]): void {
    machines.forEach((machine) => {
      this.open.delete(machine);
      this.begun.add(machine);
    });
  }

  /** Machines whose maintenance has begun and is not counted as done. */
  public get unsettled(): readonly string[] {
    return [...this.open].filter(([, { isBegun }]) => isBegun).map(([machine]) => machine);
  }

  /** The record as it is to be stored. */
  public toRecord(): MaintenanceRecord {
    const { revision, deadline, isCompleted } = this;
    const called = [...this.open].filter(([, { isBegun }]) => !isBegun);
    return {
      revision,
      deadline,
      called: called.map(([machine, { runnerId }]) => [machine, runnerId] as const),
      begun: [...this.begun, ...this.unsettled],
      refused: [...this.refused],
      isCompleted,
    };
  }

  /** @param wallOffsetMs wall time minus monotonic time */
  public toWave(wallOffsetMs: number): MaintenanceWave {
    return {
      id: this.wave,
      machines: new Set(this.request.machines),
      maxCount: this.request.maxCount,
      deadline: this.deadline - wallOffsetMs,
      settled: new Set([...this.begun, ...this.refused]),
    };
  }

  public isLate(wallNow: number): boolean {
    return wallNow > this.deadline;
  }

  public pendingCalls(): [string, PendingCall][] {
    return [...this.open].map(([machine, { runnerId, isBegun }]) => [
      machine,
      { wave: this.wave, runnerId: runnerId || undefined, isAnswered: isBegun },
    ]);
  }
}
