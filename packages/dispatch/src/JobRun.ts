import type { JobSpecification, Queue } from './Job.js';
import { isFinal, JobState } from './Job.js';
import { StepDurations } from './StepDurations.js';
import type { Permit } from './Permits.js';
import { createMember, TaskGroup, TaskGroupPhase } from './TaskGroup.js';

/** Remaining work of one step over all occurrences. */
export interface StepRemainder {
  /** Number of tasks that are not done. */
  tasks: number;
  /** Whether some task group is neither done nor running. */
  hasIdle: boolean;
  /** Task groups that run. */
  readonly running: TaskGroup[];
}

/** A job and the progress of its task groups. */
export class JobRun {
  public state: JobState = JobState.queued;

  public readonly groups = new Map<string, TaskGroup>();

  /** Projected task durations, by step. */
  public readonly stepDurations: readonly StepDurations[];

  /** Number of occurrences whose task groups have been created. */
  public createdOccurrences = 0;

  /** Whether any task has ever started. */
  public hasStarted = false;

  /** Whether there is progress that has not been stored yet. */
  public isDirty = false;

  /** Version of the stored progress; 0 if none is stored. */
  public storedVersion = 0;

  /** Monotonic end time; 0 until the job has ended. */
  public endedAt = 0;

  /**
   * Permits that are valid in this scheduling round, by step and runner id; empty unless the queue
   * has advice.
   */
  public permits: ReadonlyMap<string, ReadonlyMap<string, Permit>> = new Map();

  /** Number of phase changes of task groups, to invalidate the summary. */
  private phaseChanges = 0;

  private summarizedPhaseChanges = -1;

  private waiting: TaskGroup[] = [];

  private remainderByStep: StepRemainder[] = [];

  public constructor(
    public readonly specification: JobSpecification,
    /** The queue as of the latest configuration that contains it, or else of the acceptance. */
    public queue: Queue,
    /** Monotonic time of the acceptance, as exact as the clocks of the instances agree. */
    public readonly arrivedAt: number,
  ) {
    this.stepDurations = specification.steps.map(() => new StepDurations());
  }

  public get id(): string {
    return this.specification.id;
  }

  public get isEnded(): boolean {
    return isFinal(this.state);
  }

  /** Whether all tasks of all occurrences are done. */
  public get isDone(): boolean {
    return (
      this.createdOccurrences >= this.specification.occurrences &&
      this.remainders.every(({ tasks }) => tasks === 0)
    );
  }

  /** Wall time in milliseconds at which an occurrence is due. */
  public dueAt(occurrence: number): number {
    const { firstDueAt, intervalMs } = this.specification;
    return firstDueAt + occurrence * intervalMs;
  }

  /** Creates the task groups of due occurrences and returns whether there were any. */
  public createDueGroups(wallNow: number): boolean {
    const before = this.createdOccurrences;
    while (
      this.createdOccurrences < this.specification.occurrences &&
      this.dueAt(this.createdOccurrences) <= wallNow
    ) {
      this.createGroups(this.createdOccurrences);
      this.createdOccurrences += 1;
    }
    return this.createdOccurrences > before;
  }

  /** Records that a task group has changed its phase. */
  public recordPhaseChange(): void {
    this.phaseChanges += 1;
  }

  /** Waiting task groups whose steps have no open dependencies. */
  public get readyGroups(): readonly TaskGroup[] {
    this.summarize();
    return this.waiting;
  }

  /** Remaining work, by step. */
  public get remainders(): readonly StepRemainder[] {
    this.summarize();
    return this.remainderByStep;
  }

  // Cached, because scheduling rounds read the summary many times between two phase changes.
  private summarize(): void {
    if (this.summarizedPhaseChanges === this.phaseChanges) {
      return;
    }
    this.summarizedPhaseChanges = this.phaseChanges;
    this.remainderByStep = this.specification.steps.map(() => ({
      tasks: 0,
      hasIdle: false,
      running: [],
    }));
    const waiting: TaskGroup[] = [];
    const openSteps = new Set<number>();
    const steps = this.specification.steps.length;
    this.groups.forEach((group) => {
      const remainder = this.remainderByStep[group.stepIndex] as StepRemainder;
      if (group.phase === TaskGroupPhase.done) {
        return;
      }
      openSteps.add(group.occurrence * steps + group.stepIndex);
      remainder.tasks += group.members.length;
      if (group.phase === TaskGroupPhase.running) {
        remainder.running.push(group);
      } else {
        remainder.hasIdle = true;
      }
      if (group.phase === TaskGroupPhase.waiting) {
        waiting.push(group);
      }
    });
    this.waiting = waiting.filter((group) =>
      group.step.after.every((dependency) => !openSteps.has(group.occurrence * steps + dependency)),
    );
  }

  private createGroups(occurrence: number): void {
    this.specification.steps.forEach((step, stepIndex) => {
      const allMembers = Array.from({ length: step.count }, (_, index) =>
        createMember(`${this.id}.${occurrence}.${stepIndex}.${index}`, index),
      );
      const memberLists = step.isGang ? [allMembers] : allMembers.map((member) => [member]);
      memberLists.forEach((members) => {
        const group = new TaskGroup(this, occurrence, stepIndex, members);
        this.groups.set(group.key, group);
        this.recordPhaseChange();
      });
    });
  }
}
