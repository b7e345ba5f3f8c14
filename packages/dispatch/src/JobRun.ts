import type { JobSpecification, Queue } from './Job.js';
import { isFinal, JobState } from './Job.js';
import { createMember, Unit, UnitPhase } from './Unit.js';

/** A job with the progress of its units. */
export class JobRun {
  public state: JobState = JobState.queued;

  public readonly units = new Map<string, Unit>();

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

  public constructor(
    public readonly specification: JobSpecification,
    /** The queue as of the acceptance or of the newest configuration that has it. */
    public queue: Queue,
    /** Monotonic time at which the job was accepted, as far as clocks agree. */
    public readonly arrivedAt: number,
  ) {}

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
      [...this.units.values()].every((unit) => unit.phase === UnitPhase.done)
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

  /** Whether the steps that this unit's step needs are done. */
  public isReady(unit: Unit): boolean {
    return unit.step.after.every((needed) =>
      this.unitsOf(unit.occurrence, needed).every((other) => other.phase === UnitPhase.done),
    );
  }

  public unitsOf(occurrence: number, stepIndex: number): Unit[] {
    return [...this.units.values()].filter(
      (unit) => unit.occurrence === occurrence && unit.stepIndex === stepIndex,
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
      });
    });
  }
}
