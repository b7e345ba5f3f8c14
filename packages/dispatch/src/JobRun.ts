import type { JobSpecification, Queue } from './Job.js';
import { isFinal, JobState } from './Job.js';
import { StepPace } from './RunnerPace.js';
import { createMember, Unit, UnitPhase } from './Unit.js';

/** What is left of one step, all occurrences together. */
export interface StepRemainder {
  /** Tasks that are not done. */
  tasks: number;
  /** Whether some unit that is not done does not run. */
  hasIdle: boolean;
  /** Monotonic time of the latest start among the running units. */
  latestStart: number;
}

/** A job with the progress of its units. */
export class JobRun {
  public state: JobState = JobState.queued;

  public readonly units = new Map<string, Unit>();

  /** By step. */
  public readonly paces: readonly StepPace[];

  /** Occurrences whose units exist. */
  public createdOccurrences = 0;

  /** Whether any task has ever started. */
  public hasStarted = false;

  /** Whether the stored progress is older than this one. */
  public isDirty = false;

  /** Version of the stored progress; 0: none stored. */
  public storedVersion = 0;

  /** Monotonic time of the end; 0 before. */
  public endedAt = 0;

  /** Grows with each change of a unit's phase. */
  private unitChanges = 0;

  private summarizedChanges = -1;

  private waiting: Unit[] = [];

  private remainder: StepRemainder[] = [];

  public constructor(
    public readonly specification: JobSpecification,
    /** The queue as of the acceptance or of the newest configuration that has it. */
    public queue: Queue,
    /** Monotonic time at which the job was accepted, as far as clocks agree. */
    public readonly arrivedAt: number,
  ) {
    this.paces = specification.steps.map(() => new StepPace());
  }

  public get id(): string {
    return this.specification.id;
  }

  public get isOver(): boolean {
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

  /** Creates the units of occurrences that are due, and returns whether there were any. */
  public createDueUnits(wallNow: number): boolean {
    const before = this.createdOccurrences;
    while (
      this.createdOccurrences < this.specification.occurrences &&
      this.dueAt(this.createdOccurrences) <= wallNow
    ) {
      this.createUnits(this.createdOccurrences);
      this.createdOccurrences += 1;
    }
    return this.createdOccurrences > before;
  }

  /** A unit has entered another phase. */
  public noteUnitChange(): void {
    this.unitChanges += 1;
  }

  /** Units that wait, and whose step may start. */
  public get readyUnits(): readonly Unit[] {
    this.summarize();
    return this.waiting;
  }

  /** What is left, by step. */
  public get remainders(): readonly StepRemainder[] {
    this.summarize();
    return this.remainder;
  }

  // Scheduling rounds ask many times between two changes.
  private summarize(): void {
    if (this.summarizedChanges === this.unitChanges) {
      return;
    }
    this.summarizedChanges = this.unitChanges;
    this.remainder = this.specification.steps.map(() => ({
      tasks: 0,
      hasIdle: false,
      latestStart: 0,
    }));
    const waiting: Unit[] = [];
    const openSteps = new Set<number>();
    const steps = this.specification.steps.length;
    this.units.forEach((unit) => {
      const remainder = this.remainder[unit.stepIndex] as StepRemainder;
      if (unit.phase === UnitPhase.done) {
        return;
      }
      openSteps.add(unit.occurrence * steps + unit.stepIndex);
      remainder.tasks += unit.members.length;
      remainder.hasIdle ||= unit.phase !== UnitPhase.running;
      remainder.latestStart = Math.max(remainder.latestStart, unit.startedAt);
      if (unit.phase === UnitPhase.waiting) {
        waiting.push(unit);
      }
    });
    this.waiting = waiting.filter((unit) =>
      unit.step.after.every((needed) => !openSteps.has(unit.occurrence * steps + needed)),
    );
  }

  private createUnits(occurrence: number): void {
    this.specification.steps.forEach((step, stepIndex) => {
      const members = Array.from({ length: step.count }, (_, index) =>
        createMember(`${this.id}.${occurrence}.${stepIndex}.${index}`, index),
      );
      const groups = step.isGang ? [members] : members.map((member) => [member]);
      groups.forEach((group) => {
        const unit = new Unit(this, occurrence, stepIndex, group);
        this.units.set(unit.key, unit);
        this.noteUnitChange();
      });
    });
  }
}
