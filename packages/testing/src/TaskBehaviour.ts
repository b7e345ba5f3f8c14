import type { Resources } from '@apricothoist/dispatch';

/** How a task behaves on a virtual runner, and what its runner knows about its step. */
export interface TaskBehaviour {
  readonly size: Resources;
  /** Number of members of the task's gang; undefined for a single task. */
  readonly gangSize?: number;
  readonly durationMs: number;
  /** Milliseconds of work after which the run fails; undefined if it does not. */
  readonly failsAfterMs?: number;
  /** Milliseconds of presence after which the run crashes its runner; undefined if it does not. */
  readonly crashesAfterMs?: number;
  /** As above, but counted from the begin of the work: the presence of all members of a gang. */
  readonly crashesAfterWorkMs?: number;
  /** Milliseconds that a stop takes. */
  readonly stopMs: number;
  readonly savesProgress: boolean;
}
