import type { RunHistory } from './RunHistory.js';
import type { TaskGroup } from './TaskGroup.js';

/** A run on a runner that no member of a task group stands for, and that is being stopped. */
export interface StrayRun {
  readonly task: string;
  readonly run: number;
  /** Task group of the task, if its job is known. */
  readonly group: TaskGroup | undefined;
  readonly history: RunHistory;
  /** Whether the runner has reported it as running; otherwise a call may still start it. */
  isRunning: boolean;
}
