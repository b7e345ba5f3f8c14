import { LayerError } from '@apricothoist/common';
import type { MachineStatus } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

import type { WaveRequest } from './WaveRequests.js';

/** How a call that begins the maintenance of a machine ended. */
export const MaintenanceOutcome = {
  /** The maintenance has begun, now or earlier. */
  begun: 'begun',
  /** A newer holder exists. */
  fenced: 'fenced',
  /** The machine is not up, or is leaving. */
  busy: 'busy',
  /** The machine is not part of the wave. */
  notInWave: 'notInWave',
  unknownMachine: 'unknownMachine',
  /** Certainly not executed, for a reason that concerns all calls. */
  refused: 'refused',
  /** No response, or none that tells whether the call was executed. */
  unknown: 'unknown',
} as const;
export type MaintenanceOutcome = (typeof MaintenanceOutcome)[keyof typeof MaintenanceOutcome];

/** The machines could not be listed. */
export class MachineError extends LayerError<'unavailable'> {}

/** The holder in whose name a machine is called. */
export interface MachineCaller {
  readonly instance: string;
  readonly token: number;
}

/** Client of the platform's machines. Deadlines are monotonic milliseconds. */
export interface MachineClient {
  /**
   * Lists all machines that exist.
   *
   * @param pageTimeoutMs longest time that each page may take
   */
  list(pageTimeoutMs: number): Promise<Result<readonly MachineStatus[], MachineError>>;
  /** Takes a machine down for its maintenance in a wave; has no effect if that was done before. */
  beginMaintenance(
    machine: string,
    wave: string,
    caller: MachineCaller,
    deadline: number,
  ): Promise<MaintenanceOutcome>;
}

/** The platform's machines, its names for waves, and its limits. */
export interface MaintenancePlatform {
  readonly machines: MachineClient;
  readonly decodeRequest: (value: string) => Result<WaveRequest, Error>;
  /** Key and value that show the operator how far a wave is. */
  readonly statusOf: (
    wave: string,
    isCompleted: boolean,
  ) => { readonly key: string; readonly value: string };
  /** Milliseconds from the begin of a maintenance until a new runner joins. */
  readonly maintenanceMs: number;
  /** Milliseconds after which a call without a response counts as unanswered. */
  readonly callTimeoutMs: number;
  /** Least time in milliseconds between calls of two holders for one machine. */
  readonly holderTurnMs: number;
  /** Calls per second that all instances together may make. */
  readonly callsPerS: number;
}
