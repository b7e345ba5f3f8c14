import type { Clock } from '@apricothoist/common';
import type { MaintenanceWave, PendingCall } from '@apricothoist/dispatch';
import type { EventLog } from '@apricothoist/telemetry';

import { JobEvents } from './events.js';
import type { WaveProgress } from './WaveProgress.js';
import type { RequestedWave, WaveRequests } from './WaveRequests.js';
import type { WaveStore } from './WaveStore.js';
import { WaveReadFailure, WaveWrite } from './WaveStore.js';

/** Milliseconds between reads of a record that cannot be read. */
const rereadIntervalMs = 2_000;

/** The maintenance waves that one leadership term knows, with their stored progress. */
export class WaveSet {
  private readonly known = new Map<string, WaveProgress>();

  /** Monotonic time of the next read of records that could not be read, by wave. */
  private readonly rereadAt = new Map<string, number>();

  /** Machines and waves that were logged, by kind of event. */
  private readonly logged = new Set<string>();

  /** Whether another instance has taken over. */
  public isSuperseded = false;

  public constructor(
    private readonly requests: WaveRequests,
    private readonly store: WaveStore,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  public get isEmpty(): boolean {
    return this.known.size === 0 && this.requests.waves.size === 0;
  }

  public get(wave: string): WaveProgress | undefined {
    return this.known.get(wave);
  }

  /** Waves to be carried out: readable and not completed. */
  public get open(): readonly WaveProgress[] {
    return [...this.known.values()].filter(
      ({ wave, isCompleted }) => !isCompleted && this.requests.waves.has(wave),
    );
  }

  /** Calls without a stored result, by machine. */
  public get pendingCalls(): readonly [string, PendingCall][] {
    return [...this.known.values()].flatMap((progress) => progress.pendingCalls());
  }

  /** Machines that the waves name. */
  public get namedMachines(): readonly string[] {
    return [...this.known.values()].flatMap(({ request }) => request.machines);
  }

  /** Machines whose maintenance has begun. */
  public get begunMachines(): readonly string[] {
    return [...this.known.values()].flatMap(({ begunMachines }) => begunMachines);
  }

  /** All waves, as the decision needs them; waves that are not open only limit the others. */
  public describe(wallOffsetMs: number): readonly MaintenanceWave[] {
    const open = new Set(this.open);
    return [...this.known.values()].map((progress) => {
      const wave = progress.toWave(wallOffsetMs);
      return open.has(progress) ? wave : { ...wave, settled: wave.machines };
    });
  }

  /** Takes over new and changed requests and drops deleted ones; false if the store fails. */
  public async update(): Promise<boolean> {
    for (const [wave, request] of this.requests.waves) {
      const progress = this.known.get(wave);
      progress?.update(request, this.clock.wall());
      if (progress === undefined && !(await this.loadIfDue(wave, request))) {
        return false;
      }
    }
    for (const wave of this.known.keys()) {
      if (!this.requests.exists(wave)) {
        if (!this.hasWritten(await this.store.remove(wave))) {
          return false;
        }
        this.known.delete(wave);
      }
    }
    return true;
  }

  // A wave whose record cannot be read rests, and the others go on: machines of it that were called
  // are not known, and to call others could exceed its limit.
  private async loadIfDue(wave: string, request: RequestedWave): Promise<boolean> {
    const now = this.clock.monotonic();
    if (now < (this.rereadAt.get(wave) ?? -Infinity)) {
      return true;
    }
    const read = await this.store.read(wave, request);
    if (read.isErr()) {
      const isUnreadable = read.error === WaveReadFailure.unreadable;
      this.rereadAt.set(wave, isUnreadable ? now + rereadIntervalMs : now);
      return isUnreadable;
    }
    this.begin(wave, request, read.value);
    return true;
  }

  private begin(wave: string, request: RequestedWave, progress: WaveProgress): void {
    this.known.set(wave, progress);
    this.log.emit(JobEvents.waveStarted, {
      wave,
      machines: request.machines.length,
      maxCount: request.maxCount,
      begun: progress.begunMachines.length,
      called: progress.open.size,
      isCompleted: progress.isCompleted,
    });
  }

  /** Stores all changes; false if that fails. */
  public async write(): Promise<boolean> {
    const results = await Promise.all(
      [...this.known.values()].map((progress) => this.writeOne(progress)),
    );
    return results.every((isStored) => isStored);
  }

  private async writeOne(progress: WaveProgress): Promise<boolean> {
    const { wave, isCompleted, isStatusDue, unsettled } = progress;
    if (!this.hasWritten(await this.store.write(progress))) {
      return false;
    }
    unsettled.forEach((machine) =>
      this.log.emit(JobEvents.maintenanceBegun, {
        wave,
        machine,
        begun: progress.begunMachines.length,
      }),
    );
    if (isStatusDue && isCompleted) {
      this.log.emit(JobEvents.waveCompleted, { wave, begun: progress.begunMachines.length });
    }
    return true;
  }

  private hasWritten(result: WaveWrite): boolean {
    this.isSuperseded ||= result === WaveWrite.superseded;
    return result === WaveWrite.stored;
  }

  /** Finds completed waves, and reports late ones and machines that do not exist. */
  public judge(isGone: (machine: string) => boolean): void {
    this.open.forEach((progress) => {
      const { wave, request } = progress;
      const unknown = request.machines
        .filter(isGone)
        .filter((name) => this.isFirst(`unknown ${wave} ${name}`));
      if (unknown.length > 0) {
        this.log.emit(JobEvents.machinesUnknown, { wave, machines: unknown.join(',') });
      }
      const waiting = progress.waiting.filter((name) => !isGone(name)).length;
      if (waiting === 0 && progress.open.size === 0) {
        progress.recordCompleted();
      } else if (progress.isLate(this.clock.wall()) && this.isFirst(`late ${wave}`)) {
        this.log.emit(JobEvents.waveLate, { wave, waiting });
      }
    });
  }

  private isFirst(subject: string): boolean {
    const isFirst = !this.logged.has(subject);
    this.logged.add(subject);
    return isFirst;
  }
}
