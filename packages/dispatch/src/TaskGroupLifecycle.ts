import type { DispatchState, StartCommand } from './DispatchState.js';
import { EndEvidence } from './EndEvidence.js';
import { describeFormerRun } from './formerRun.js';
import { JobState } from './Job.js';
import type { JobRun } from './JobRun.js';
import type { Placement } from './CapacityLedger.js';
import { slowestSpeed } from './RemainingTime.js';
import type { Occupant, Runner } from './Runner.js';
import { occupantKey } from './Runner.js';
import type { LocatedRun } from './RunFailures.js';
import { RunFailures } from './RunFailures.js';
import { RunHistory } from './RunHistory.js';
import type { Permit } from './Permits.js';
import { stepKey } from './Permits.js';
import { reportRunnerFault, RunnerFault } from './RunnerQuarantine.js';
import { StartOutcome } from './StartOutcome.js';
import type { Member, TaskGroup } from './TaskGroup.js';
import { MemberState, TaskGroupPhase } from './TaskGroup.js';

/** How a run ended. Runners report these names, except `missing`. */
export const RunEnd = {
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  /** The lease of the run expired. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  broken: 'broken',
  /** The other members of the gang were not started in time. */
  alone: 'alone',
  /** The runner no longer lists the run. */
  missing: 'missing',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/**
 * Back-off in milliseconds after a refused start, so that a report can first correct stale state.
 */
const refusedRetryMs = 150;
/** Back-off in milliseconds after a start without a response. */
const unansweredRetryMs = 300;
/** Outcomes of a call after which the run may have started. */
const mayHaveStarted = new Set<StartOutcome>([
  StartOutcome.unknown,
  StartOutcome.started,
  StartOutcome.outdatedRun,
]);
/** Faults of a runner that the outcome of a start command indicates. */
const faultByOutcome: Partial<Record<StartOutcome, RunnerFault>> = {
  [StartOutcome.unknown]: RunnerFault.unanswered,
  [StartOutcome.unhealthy]: RunnerFault.unhealthy,
};

/** Advances task groups through their phases on commands, their results and reported ends. */
export class TaskGroupLifecycle {
  private readonly failures: RunFailures;

  public constructor(private readonly state: DispatchState) {
    this.failures = new RunFailures(state);
  }

  /** Issues start commands for all members; `placement` gives their number on each runner. */
  public requestStart(group: TaskGroup, placement: Placement, now: number): void {
    const formerRun = describeFormerRun(group.members);
    group.apply('requestStart');
    group.run += 1;
    group.startRequestedAt = now;
    group.isRestored = false;
    group.startedAt = 0;
    group.savedAt = now;
    group.isResumed = group.saved !== '';
    const runnerIds = [...placement].flatMap(([runnerId, count]) =>
      Array.from({ length: count }, () => runnerId),
    );
    group.members.forEach(({ crashes }) => crashes.recordStart());
    const { permits } = group;
    group.members.forEach((member, position) => {
      const runner = this.state.runners.get(runnerIds[position] as string) as Runner;
      placeMember(group, member, runner, RunHistory.forStart());
      this.state.starts.push({
        runnerId: runner.id,
        processStartedAt: runner.listed.processStartedAt,
        jobId: group.job.id,
        task: member.task,
        run: group.run,
        payload: group.job.specification.payload,
        saved: group.saved,
        ...commandPermit(permits?.get(runner.id)),
      });
    });
    group.job.isDirty = true;
    this.state.log.decide('groupStartRequested', {
      job: group.job.id,
      group: group.key,
      run: group.run,
      runners: [...placement.keys()].join(','),
      waitedMs: Math.round(now - group.job.arrivedAt),
      resumes: group.saved !== '',
      ...formerRun,
    });
  }

  /** Handles the outcomes of all calls of a start command, in the order of the calls. */
  public recordStartOutcomes(
    runner: Runner,
    task: string,
    run: number,
    outcomes: readonly StartOutcome[],
    now: number,
  ): void {
    const key = occupantKey(task, run);
    const occupant = runner.occupants.get(key);
    if (occupant === undefined) {
      runner.strays.get(key)?.history.recordStartOutcomes(outcomes, now);
      return;
    }
    const { group, member } = occupant;
    member.history.recordStartOutcomes(outcomes, now);
    if (!outcomes.some((outcome) => mayHaveStarted.has(outcome))) {
      member.crashes.recordNotStarted(runner.id, member.processStartedAt);
    }
    if (member.state !== MemberState.starting) {
      return;
    }
    const outcome = outcomes.at(-1) ?? StartOutcome.notSent;
    if (outcome === StartOutcome.started) {
      if (group.job.queue.advice !== undefined) {
        this.state.permits.recordAcceptance(stepKey(group), runner);
      }
      this.confirmMember(group, member, now);
      return;
    }
    const fault = faultByOutcome[outcome];
    if (fault !== undefined) {
      reportRunnerFault(this.state, runner, fault, now);
    }
    if (outcome === StartOutcome.permitRefused) {
      this.refusePermit(group, runner);
    }
    const isUnanswered = outcome === StartOutcome.unknown;
    runner.isReportDue ||= outcome === StartOutcome.leaseExpired;
    group.retryAt = now + (isUnanswered ? unansweredRetryMs : refusedRetryMs);
    this.endMember(runner, occupant, EndEvidence.refused, now, now);
    this.abort(group, outcome, now);
  }

  /** Records that the member is known to run. */
  public confirmMember(group: TaskGroup, member: Member, now: number): void {
    member.state = MemberState.running;
    member.history.recordReportable(now);
    member.progressedAt = now;
    group.job.hasStarted = true;
    if (group.job.state === JobState.queued) {
      group.job.state = JobState.running;
      group.job.isDirty = true;
    }
    const isComplete = group.members.every((each) => each.state === MemberState.running);
    if (group.phase === TaskGroupPhase.starting && isComplete) {
      group.apply('confirmStart');
      group.startedAt = now;
      group.savedAt = now;
      this.state.log.decide('groupStarted', {
        job: group.job.id,
        group: group.key,
        run: group.run,
        waitedMs: Math.round(now - group.job.arrivedAt),
      });
    }
    if (group.phase === TaskGroupPhase.stopping || group.job.isEnded) {
      this.stopMember(group, member);
    }
  }

  /**
   * Handles the end of a run: reported, missing from a report, or certain by an expired lease. Has
   * no effect if the evidence does not prove the end.
   *
   * @param observedAt see `EndObservation.at`
   */
  public endRun(
    runner: Runner,
    occupant: Occupant,
    end: RunEnd,
    evidence: EndEvidence,
    observedAt: number,
    now: number,
  ): void {
    const { group, member } = occupant;
    if (!member.history.isEndedBy({ evidence, at: observedAt, leaseEnd: runner.leaseEnd })) {
      return;
    }
    if (end === RunEnd.done && !group.step.isLasting) {
      this.complete(group, occupant.run, now);
      return;
    }
    if (end === RunEnd.failed) {
      this.failures.recordHeld(runner, occupant, now);
    }
    this.endMember(runner, occupant, evidence, observedAt, now);
    this.abort(group, end, now);
  }

  /**
   * Stops the task group of a run that is not reported any more, but for which a restarted runner
   * may still execute a call.
   */
  public abortVanished({ group, member }: Occupant, now: number): void {
    if (member.state === MemberState.running && member.history.needsStop) {
      this.abort(group, RunEnd.missing, now);
    }
  }

  /** Handles the end of a run that was held to have ended before. */
  public endUnheldRun(group: TaskGroup, ended: LocatedRun, end: RunEnd, now: number): void {
    const { run } = ended;
    const isOver = group.phase === TaskGroupPhase.done || group.phase === TaskGroupPhase.failed;
    if (isOver || group.job.isEnded || group.step.isLasting) {
      return;
    }
    if (end === RunEnd.done) {
      this.abort(group, `done in run ${run}`, now);
      this.clearReservation(group);
      group.members.forEach((member) => this.releaseMember(group, member));
      this.complete(group, run, now);
    } else if (end === RunEnd.failed && this.failures.record(group, ended, false)) {
      if (group.hasUsedUpAttempts && !group.isActive) {
        this.failGroup(group, now);
      }
    }
  }

  /** Ends the current run of a task group without a result and stops its members. */
  public abort(group: TaskGroup, reason: string, now: number): void {
    if (group.phase === TaskGroupPhase.starting || group.phase === TaskGroupPhase.running) {
      this.state.log.decide('groupAborted', {
        job: group.job.id,
        group: group.key,
        run: group.run,
        reason,
        failures: group.failures,
        ranMs: group.startedAt === 0 ? 0 : Math.round(now - group.startedAt),
      });
      group.apply('abort');
      group.members.forEach((member) => this.stopMember(group, member));
    }
    this.completeStop(group, now);
  }

  /** Stops all task groups of an ended job. */
  public stopJob(job: JobRun, reason: string, now: number): void {
    job.groups.forEach((group) => {
      if (group.phase === TaskGroupPhase.reserved) {
        this.release(group);
      }
      this.abort(group, reason, now);
    });
  }

  /** Reserves capacity for a task group that is not entirely free yet. */
  public reserve(group: TaskGroup, placement: Placement, until: number): void {
    group.apply('reserve');
    group.reservedUntil = until;
    this.state.reserved.add(group);
    placement.forEach((count, runnerId) => {
      this.state.runners.get(runnerId)?.reservations.set(group, count);
    });
  }

  /** Drops the reservation of a task group, which then waits again. */
  public release(group: TaskGroup): void {
    group.apply('release');
    this.clearReservation(group);
  }

  /** Removes the reservation without a change of phase. */
  public clearReservation(group: TaskGroup): void {
    this.state.reserved.delete(group);
    this.state.runners.forEach((runner) => runner.reservations.delete(group));
  }

  /** Moves a job to a final state and stops its task groups. */
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

  private refusePermit(group: TaskGroup, runner: Runner): void {
    const step = stepKey(group);
    const refusals = this.state.permits.recordRefusal(step, runner);
    this.state.counters.refusedPermits += 1;
    this.state.log.decide('permitRefused', {
      job: group.job.id,
      step,
      runner: runner.id,
      startedAt: runner.listed.processStartedAt,
      refusals,
    });
  }

  private stopMember(group: TaskGroup, member: Member): void {
    const mayRun = member.state === MemberState.starting || member.state === MemberState.running;
    if (!mayRun || member.runnerId === undefined || member.isStopRequested) {
      return;
    }
    member.isStopRequested = true;
    this.state.stops.push({ runnerId: member.runnerId, task: member.task, run: group.run });
  }

  // Leaves the run in place unless the evidence proves its end.
  private endMember(
    runner: Runner,
    occupant: Occupant,
    evidence: EndEvidence,
    observedAt: number,
    now: number,
  ): void {
    const { group, member, run } = occupant;
    if (!member.history.isEndedBy({ evidence, at: observedAt, leaseEnd: runner.leaseEnd })) {
      return;
    }
    this.recordEvidence(runner, occupant, evidence, now);
    member.endEvidence = evidence;
    runner.removeOccupant(member.task, run);
    // The proof by an expired lease holds only until a call extends the lease again.
    if (evidence === EndEvidence.leaseExpired && member.history.mayStillStart) {
      const { task, history } = member;
      runner.addStray({ task, run, group, history, isRunning: false });
      this.state.stops.push({ runnerId: runner.id, task, run });
    }
    member.state = MemberState.ended;
    this.completeStop(group, now);
  }

  // Keeps the run of a member as a stray run, which counts until it has been stopped.
  private releaseMember(group: TaskGroup, { task, runnerId, history }: Member): void {
    const runner = runnerId === undefined ? undefined : this.state.runners.get(runnerId);
    if (runner?.occupants.has(occupantKey(task, group.run))) {
      runner.removeOccupant(task, group.run);
      runner.addStray({ task, run: group.run, group, history, isRunning: true });
    }
  }

  private recordEvidence(
    runner: Runner,
    { group, member, run }: Occupant,
    evidence: EndEvidence,
    now: number,
  ): void {
    this.state.counters.ends[evidence] += 1;
    if (evidence === EndEvidence.reported) {
      return;
    }
    this.state.log.decide('runEndInferred', {
      job: group.job.id,
      task: member.task,
      run,
      runner: runner.id,
      startedAt: runner.listed.processStartedAt,
      evidence,
      memberState: member.state,
      sinceStartMs: Math.round(now - group.startRequestedAt),
      reportAgeMs: Math.round(now - runner.reportRequestedAt),
      unansweredCalls: runner.unansweredCalls,
      isListed: runner.isListed,
      isLeaving: runner.isLeaving,
    });
  }

  private complete(group: TaskGroup, run: number, now: number): void {
    group.doneRun = run;
    group.members.forEach((member) => {
      const runner =
        member.runnerId === undefined ? undefined : this.state.runners.get(member.runnerId);
      if (runner !== undefined) {
        runner.removeOccupant(member.task, group.run);
        runner.faultCount = 0;
        runner.failedJobs.clear();
      }
      if (member.state !== MemberState.ended) {
        this.state.counters.ends[EndEvidence.reported] += 1;
      }
      member.state = MemberState.ended;
    });
    if (run === group.run && group.startedAt > 0 && group.saved === '') {
      // Durations are learned for speed 1.
      const workMs = (now - group.startedAt) * slowestSpeed(group, this.state.runners);
      this.state.estimates.record(group.job.queue.name, group.step, workMs);
    }
    group.apply('finish');
    group.job.isDirty = true;
    this.state.log.decide('groupDone', {
      job: group.job.id,
      group: group.key,
      run,
      ranMs: run === group.run ? Math.round(now - group.startedAt) : undefined,
    });
    if (!group.job.isEnded && group.job.isDone) {
      this.endJob(group.job, JobState.completed, 'all tasks done', now);
    }
  }

  // Once no member can still run, the task group waits again, or fails if its attempts are used up.
  private completeStop(group: TaskGroup, now: number): void {
    const hasEnded = group.members.every((member) => member.state === MemberState.ended);
    if (group.phase !== TaskGroupPhase.stopping || !hasEnded) {
      return;
    }
    group.startedAt = 0;
    group.job.isDirty = true;
    const crashing = group.members.find(({ crashes }) => crashes.isToBeGivenUp);
    if (crashing !== undefined) {
      this.giveUp(group, crashing, now);
      return;
    }
    if (group.hasUsedUpAttempts) {
      this.failGroup(group, now);
      return;
    }
    group.apply('requeue');
    group.requeuedAt = now;
  }

  private failGroup(group: TaskGroup, now: number): void {
    if (group.phase === TaskGroupPhase.reserved) {
      this.release(group);
    }
    group.apply('fail');
    if (!group.job.isEnded) {
      this.endJob(group.job, JobState.failed, `task group ${group.key} failed`, now);
    }
  }

  // A task that crashes its runners costs more than its job is worth.
  private giveUp(group: TaskGroup, { task, crashes }: Member, now: number): void {
    group.apply('fail');
    if (!group.job.isEnded) {
      this.state.counters.crashingJobs += 1;
      const runners = crashes.all.map(({ runnerId }) => runnerId).join(', ');
      const reason = `task ${task} crashed ${crashes.all.length} runners: ${runners}`;
      this.endJob(group.job, JobState.failed, reason, now);
    }
  }
}

function commandPermit(permit: Permit | undefined): Partial<StartCommand> {
  return permit === undefined ? {} : { permit: permit.text, permitSendBy: permit.sendBy };
}

/** Assigns a member to a runner, for a start command or from stored progress. */
export function placeMember(
  group: TaskGroup,
  member: Member,
  runner: Runner,
  history: RunHistory,
): void {
  member.runnerId = runner.id;
  member.processStartedAt = runner.listed.processStartedAt;
  member.state = MemberState.starting;
  member.history = history;
  member.isStopRequested = false;
  member.percent = 0;
  member.isStallReported = false;
  member.originPercent = 0;
  member.originAt = 0;
  member.isSpeedRecorded = false;
  runner.addOccupant({ group, member, run: group.run });
}

/**
 * Records the response to a stop command: a later report without the run means that it does not
 * run.
 */
export function recordStopResponse(runner: Runner, task: string, run: number, now: number): void {
  const key = occupantKey(task, run);
  const history = runner.occupants.get(key)?.member.history ?? runner.strays.get(key)?.history;
  history?.recordReportable(now);
}
