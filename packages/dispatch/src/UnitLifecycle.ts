import type { DispatchState } from './DispatchState.js';
import { JobState } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { Placement } from './RoomLedger.js';
import type { Occupant, Runner } from './Runner.js';
import { occupantKey } from './Runner.js';
import { reportBadSign, RunnerSign } from './RunnerSigns.js';
import type { Member, Unit } from './Unit.js';
import { MemberState, UnitPhase } from './Unit.js';

/** What became of an order to start a task. */
export const StartOutcome = {
  started: 'started',
  /** The runner has not enough room. */
  noRoom: 'noRoom',
  /** The run number is not higher than one that ended there. */
  outdatedRun: 'outdatedRun',
  /** The lease in the order had passed. */
  late: 'late',
  /** Another scheduler has taken over. */
  fenced: 'fenced',
  /** The runner is unhealthy and did nothing. */
  unhealthy: 'unhealthy',
  /** Another life of the runner answered. */
  reborn: 'reborn',
  /** The runner does not accept the order as it is. */
  invalid: 'invalid',
  /** No answer; the order may still be carried out. */
  unknown: 'unknown',
} as const;
export type StartOutcome = (typeof StartOutcome)[keyof typeof StartOutcome];

/** How a run ended. */
export const RunEnd = {
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  /** Its lease ran out. */
  lapsed: 'lapsed',
  /** Another member of its gang ended. */
  broken: 'broken',
  /** The other members of its gang did not come. */
  alone: 'alone',
  /** The runner does not list it any more. */
  missing: 'missing',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Milliseconds before a refused unit is tried again, so that a wrong belief is corrected first. */
const refusedRetryMs = 150;
/** Share of the usual duration before which a failure counts as early. */
const earlyShare = 0.1;
/** Milliseconds before a unit is tried again after no answer. */
const unansweredRetryMs = 300;

/** Moves units through their phases, from orders, their answers and reported ends. */
export class UnitLifecycle {
  public constructor(private readonly state: DispatchState) {}

  /** Orders all members to start, `placement` telling how many on each runner. */
  public order(unit: Unit, placement: Placement, now: number): void {
    unit.apply('order');
    unit.run += 1;
    unit.orderedAt = now;
    unit.startedAt = 0;
    unit.savedAt = now;
    unit.hasFailedInRun = false;
    unit.isResumed = unit.saved !== '';
    const runnerIds = [...placement].flatMap(([runnerId, count]) =>
      Array.from({ length: count }, () => runnerId),
    );
    unit.members.forEach((member, position) => {
      const runner = this.state.runners.get(runnerIds[position] as string) as Runner;
      placeMember(unit, member, runner);
      this.state.starts.push({
        runnerId: runner.id,
        jobId: unit.job.id,
        task: member.task,
        run: unit.run,
        payload: unit.job.specification.payload,
        saved: unit.saved,
      });
    });
    unit.job.isDirty = true;
    this.state.log.decide('unitOrdered', {
      job: unit.job.id,
      unit: unit.key,
      run: unit.run,
      runners: [...placement.keys()].join(','),
      waitedMs: Math.round(now - unit.job.arrivedAt),
      resumes: unit.saved !== '',
    });
  }

  public answerStart(
    runner: Runner,
    task: string,
    run: number,
    outcome: StartOutcome,
    now: number,
  ): void {
    const occupant = runner.occupants.get(occupantKey(task, run));
    if (occupant === undefined || occupant.member.state !== MemberState.ordered) {
      return;
    }
    const { unit, member } = occupant;
    if (outcome === StartOutcome.started) {
      this.confirmMember(unit, member, now);
      return;
    }
    if (outcome === StartOutcome.unknown) {
      reportBadSign(this.state, runner, RunnerSign.silent, now);
      unit.retryAt = now + unansweredRetryMs;
      this.abort(unit, outcome, now);
      return;
    }
    if (outcome === StartOutcome.unhealthy) {
      reportBadSign(this.state, runner, RunnerSign.refusing, now);
    }
    unit.retryAt = now + refusedRetryMs;
    this.end(runner, occupant, now);
    this.abort(unit, outcome, now);
  }

  /** The member is known to run. */
  public confirmMember(unit: Unit, member: Member, now: number): void {
    member.state = MemberState.present;
    member.settledAt = now;
    member.progressedAt = now;
    unit.job.hasStarted = true;
    if (unit.job.state === JobState.queued) {
      unit.job.state = JobState.running;
      unit.job.isDirty = true;
    }
    const isWhole = unit.members.every((each) => each.state === MemberState.present);
    if (unit.phase === UnitPhase.ordered && isWhole) {
      unit.apply('start');
      unit.startedAt = now;
      unit.savedAt = now;
      this.state.log.decide('unitStarted', {
        job: unit.job.id,
        unit: unit.key,
        run: unit.run,
        waitedMs: Math.round(now - unit.job.arrivedAt),
      });
    }
    if (unit.phase === UnitPhase.stopping || unit.job.isOver) {
      this.stopMember(unit, member);
    }
  }

  /** A run has ended, as its runner lists it or as time has made certain. */
  public endRun(runner: Runner, occupant: Occupant, how: RunEnd, now: number): void {
    const { unit } = occupant;
    if (how === RunEnd.done && !unit.step.isLasting) {
      this.finish(unit, now);
      return;
    }
    if (how === RunEnd.failed && !unit.hasFailedInRun) {
      unit.hasFailedInRun = true;
      unit.failures += unit.step.isLasting ? 0 : 1;
      unit.failedRunners.add(runner.id);
      unit.job.isDirty = true;
      runner.failedJobs.add(unit.job.id);
      reportBadSign(this.state, runner, this.signOfFailure(unit, now), now);
    }
    this.end(runner, occupant, now);
    this.abort(unit, how, now);
  }

  /** Ends the current run of a unit without a result; its members are stopped. */
  public abort(unit: Unit, reason: string, now: number): void {
    if (unit.phase === UnitPhase.ordered || unit.phase === UnitPhase.running) {
      this.state.log.decide('unitAborted', {
        job: unit.job.id,
        unit: unit.key,
        run: unit.run,
        reason,
        failures: unit.failures,
        ranMs: unit.startedAt === 0 ? 0 : Math.round(now - unit.startedAt),
      });
      unit.apply('abort');
      unit.members.forEach((member) => this.stopMember(unit, member));
    }
    this.settle(unit, now);
  }

  /** Stops everything of a job that is over. */
  public stopJob(job: JobRun, reason: string, now: number): void {
    job.units.forEach((unit) => {
      if (unit.phase === UnitPhase.reserved) {
        this.release(unit);
      }
      this.abort(unit, reason, now);
    });
  }

  /** Keeps places for a unit that are not empty yet. */
  public reserve(unit: Unit, placement: Placement, until: number): void {
    unit.apply('reserve');
    unit.reservedUntil = until;
    this.state.reserved.add(unit);
    placement.forEach((count, runnerId) => {
      this.state.runners.get(runnerId)?.reservations.set(unit, count);
    });
  }

  /** Gives the places of a reservation back. */
  public release(unit: Unit): void {
    unit.apply('release');
    this.forgetReservation(unit);
  }

  public forgetReservation(unit: Unit): void {
    this.state.reserved.delete(unit);
    this.state.runners.forEach((runner) => runner.reservations.delete(unit));
  }

  /** Brings a job to its end. */
  public endJob(job: JobRun, state: JobState, reason: string, now: number): void {
    job.state = state;
    job.isDirty = true;
    job.endedAt = now;
    this.state.openJobs.delete(job);
    this.state.log.decide('jobEnded', {
      job: job.id,
      queue: job.queue.name,
      state,
      reason,
      tookMs: Math.round(now - job.arrivedAt),
    });
    this.stopJob(job, reason, now);
  }

  // A run that fails at its very start tells of the runner rather than of the job.
  private signOfFailure(unit: Unit, now: number): RunnerSign {
    const usualMs = this.state.estimates.estimate(unit.job.queue.name, unit.step);
    const ranMs = unit.startedAt === 0 ? 0 : now - unit.startedAt;
    return ranMs < usualMs * earlyShare ? RunnerSign.failingEarly : RunnerSign.failing;
  }

  private stopMember(unit: Unit, member: Member): void {
    const isThere = member.state === MemberState.ordered || member.state === MemberState.present;
    if (!isThere || member.runnerId === undefined || member.isStopOrdered) {
      return;
    }
    member.isStopOrdered = true;
    this.state.stops.push({ runnerId: member.runnerId, task: member.task, run: unit.run });
  }

  private end(runner: Runner, occupant: Occupant, now: number): void {
    const { unit, member, run } = occupant;
    runner.removeOccupant(member.task, run);
    member.state = MemberState.over;
    this.settle(unit, now);
  }

  private finish(unit: Unit, now: number): void {
    unit.members.forEach((member) => {
      const runner =
        member.runnerId === undefined ? undefined : this.state.runners.get(member.runnerId);
      if (runner !== undefined) {
        runner.removeOccupant(member.task, unit.run);
        runner.badSigns = 0;
        runner.failedJobs.clear();
      }
      member.state = MemberState.over;
    });
    if (unit.startedAt > 0 && unit.saved === '') {
      this.state.estimates.record(unit.job.queue.name, unit.step, now - unit.startedAt);
    }
    unit.apply('finish');
    unit.job.isDirty = true;
    this.state.log.decide('unitDone', {
      job: unit.job.id,
      unit: unit.key,
      run: unit.run,
      ranMs: Math.round(now - unit.startedAt),
    });
    if (!unit.job.isOver && unit.job.isDone) {
      this.endJob(unit.job, JobState.completed, 'all tasks done', now);
    }
  }

  // Once no member can run any more the unit waits again, or is given up.
  private settle(unit: Unit, now: number): void {
    const isSettled = unit.members.every((member) => member.state === MemberState.over);
    if (unit.phase !== UnitPhase.stopping || !isSettled) {
      return;
    }
    unit.startedAt = 0;
    unit.job.isDirty = true;
    if (unit.failures >= unit.job.queue.maxAttempts && !unit.step.isLasting) {
      unit.apply('exhaust');
      if (!unit.job.isOver) {
        this.endJob(unit.job, JobState.failed, `unit ${unit.key} failed`, now);
      }
      return;
    }
    unit.apply('clear');
  }
}

/** Puts a member on a runner: by an order, or as the stored progress tells. */
export function placeMember(unit: Unit, member: Member, runner: Runner): void {
  member.runnerId = runner.id;
  member.state = MemberState.ordered;
  member.settledAt = Infinity;
  member.isStopOrdered = false;
  member.percent = 0;
  member.isPaceNoted = false;
  runner.addOccupant({ unit, member, run: unit.run });
}

/** A stop was answered: from now on a report without the run means that it does not run. */
export function answerStop(runner: Runner, task: string, run: number, now: number): void {
  const member = runner.occupants.get(occupantKey(task, run))?.member;
  if (member !== undefined && member.settledAt === Infinity) {
    member.settledAt = now;
  }
}
