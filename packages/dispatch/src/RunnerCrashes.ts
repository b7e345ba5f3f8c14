import { CrashSuspicion } from './CrashHistory.js';
import type { DispatchState } from './DispatchState.js';
import { incarnationKey } from './LearnedState.js';
import type { Occupant, Runner } from './Runner.js';
import type { Member, TaskGroup } from './TaskGroup.js';

interface Suspect {
  readonly group: TaskGroup;
  readonly member: Member;
}

interface RecentCrash {
  readonly runnerId: string;
  readonly lostAt: number;
  readonly suspects: readonly (Suspect & { readonly processStartedAt: number })[];
}

/** Milliseconds within which runners count as lost at the same time. */
const sameTimeMs = 1_000;
/** Number and share of the listed runners that are lost together by a common cause. */
const minCommonLosses = 3;
const commonLossShare = 0.5;
/** Milliseconds within which starts on one runner count as simultaneous. */
const simultaneousMs = 250;
/** Largest number of tasks in a log line. */
const maxLoggedTasks = 8;

/**
 * Records the crashes of runners with the tasks that were there.
 *
 * A runner whose leases have expired without an answer is presumed to have crashed, as its process
 * may come back under another id; the crash is retracted if the same incarnation answers again.
 */
export class RunnerCrashes {
  /** Times of the present losses of contact, by runner. */
  private readonly losses = new Map<string, number>();

  /** Losses of contact of the last seconds, also of runners that have answered since. */
  private recentLosses: { readonly runnerId: string; readonly lostAt: number }[] = [];

  private readonly suspects = new Map<string, Suspect[]>();

  /** Crashes that may yet turn out to have a common cause. */
  private recent: RecentCrash[] = [];

  public constructor(private readonly state: DispatchState) {}

  /** Records that the runner does not answer any more. */
  public recordLoss(runner: Runner, now: number): void {
    this.losses.set(runner.id, now);
    const maxAgeMs = this.state.bounds.maxLeaseMs * 2;
    this.recentLosses = this.recentLosses.filter(({ lostAt }) => now - lostAt <= maxAgeMs);
    this.recentLosses.push({ runnerId: runner.id, lostAt: now });
    this.losses.forEach((_lostAt, id) => {
      if (!this.state.runners.has(id)) {
        this.losses.delete(id);
      }
    });
  }

  /** Records that the present incarnation of the runner has ended. */
  public recordCrash(runner: Runner, now: number): void {
    this.record(runner, now, false);
  }

  /**
   * Records that the leases on the runner have expired without an answer. Its process has ended if
   * another one reports from its address.
   */
  public recordExpiry(runner: Runner, now: number): void {
    const { address } = runner.listed;
    const isReplaced = [...this.state.runners.values()].some(
      (other) =>
        other !== runner &&
        other.isListed &&
        other.identity.isConfirmed &&
        other.listed.address === address,
    );
    this.record(runner, now, !isReplaced);
  }

  private record(
    runner: Runner,
    now: number,
    isPresumed: boolean,
    occupants: readonly Occupant[] = [...runner.occupants.values()],
  ): void {
    const lostAt = this.losses.get(runner.id) ?? now;
    if (occupants.length === 0 || isPlannedEnd(runner, lostAt)) {
      return;
    }
    if (!this.losses.has(runner.id)) {
      this.recordLoss(runner, now);
    }
    this.forgetEndedJobs();
    const gone = occupants.map((occupant) => ({
      ...occupant,
      ...incarnationOf(occupant, runner),
    }));
    this.recent.push({ runnerId: runner.id, lostAt, suspects: gone });
    this.recent = this.recent.filter((crash) => now - crash.lostAt <= sameTimeMs * 2);
    const isCommon = this.isCommonLoss(lostAt);
    if (isCommon) {
      this.markDoubtful(lostAt);
    }
    const latestStart = Math.max(...occupants.map(({ group }) => group.startRequestedAt));
    gone.forEach(({ group, member, processStartedAt, isFurther }) => {
      const isNew = this.add(group, member, {
        runnerId: runner.id,
        processStartedAt,
        suspicion: judge(group, occupants, latestStart),
        isDoubtful: isCommon || isPresumed,
        ageMs: Math.round(Math.max(0, lostAt - group.startRequestedAt)),
      });
      if (isNew && isFurther) {
        member.crashes.recordFurtherStart();
      }
    });
    this.state.counters.crashes += 1;
    this.state.log.decide('runnerCrashed', {
      runner: runner.id,
      startedAt: runner.listed.processStartedAt,
      isPresumed,
      isCommon,
      lostMs: Math.round(now - lostAt),
      tasks: occupants
        .slice(0, maxLoggedTasks)
        .map(({ member }) => member.task)
        .join(','),
      taskCount: occupants.length,
    });
  }

  /** Records crashes between the starts of restored members and the first report of their runner. */
  public recordEarlierCrashes(runner: Runner, presentStart: number, now: number): void {
    const occupants = [...runner.occupants.values()].filter(
      ({ member }) => member.processStartedAt !== 0 && member.processStartedAt < presentStart,
    );
    this.record(runner, now, true, occupants);
  }

  /** Registers the crashes of a restored history, so that they can be retracted. */
  public register(group: TaskGroup, member: Member): void {
    member.crashes.all.forEach(({ runnerId, processStartedAt }) =>
      this.index({ group, member }, runnerId, processStartedAt),
    );
  }

  /** Records an answer of the runner: its present incarnation has not crashed. */
  public recordAnswer(runner: Runner): void {
    this.losses.delete(runner.id);
    const { processStartedAt } = runner.listed;
    const key = incarnationKey(runner.id, processStartedAt);
    this.suspects.get(key)?.forEach(({ group, member }) => {
      if (member.crashes.retract(runner.id, processStartedAt)) {
        group.job.isDirty ||= !group.job.isEnded;
        const { task } = member;
        this.state.log.decide('crashRetracted', { runner: runner.id, task });
      }
    });
    this.suspects.delete(key);
  }

  private add(
    group: TaskGroup,
    member: Member,
    crash: Parameters<Member['crashes']['add']>[0],
  ): boolean {
    const isNew = member.crashes.add(crash);
    if (isNew) {
      group.job.isDirty = true;
      this.index({ group, member }, crash.runnerId, crash.processStartedAt);
    }
    return isNew;
  }

  private index(suspect: Suspect, runnerId: string, processStartedAt: number): void {
    const key = incarnationKey(runnerId, processStartedAt);
    const known = this.suspects.get(key);
    if (known === undefined) {
      this.suspects.set(key, [suspect]);
    } else {
      known.push(suspect);
    }
  }

  private forgetEndedJobs(): void {
    this.suspects.forEach((suspects, key) => {
      const open = suspects.filter(({ group }) => !group.job.isEnded);
      if (open.length === 0) {
        this.suspects.delete(key);
      } else {
        this.suspects.set(key, open);
      }
    });
  }

  private markDoubtful(at: number): void {
    this.recent
      .filter(({ lostAt }) => Math.abs(lostAt - at) <= sameTimeMs)
      .forEach(({ runnerId, suspects }) =>
        suspects.forEach(({ group, member, processStartedAt }) => {
          member.crashes.markDoubtful(runnerId, processStartedAt);
          group.job.isDirty ||= !group.job.isEnded;
        }),
      );
  }

  private isCommonLoss(at: number): boolean {
    const together = this.recentLosses.filter(({ lostAt }) => Math.abs(lostAt - at) <= sameTimeMs);
    const listed = [...this.state.runners.values()].filter(({ isListed }) => isListed).length;
    const lostRunners = new Set(together.map(({ runnerId }) => runnerId)).size;
    return lostRunners >= Math.max(minCommonLosses, listed * commonLossShare);
  }
}

// A runner that goes before its announced departure has crashed.
function isPlannedEnd(runner: Runner, lostAt: number): boolean {
  return runner.isLeaving && (runner.departsAt === Infinity || lostAt >= runner.departsAt);
}

/**
 * Incarnation that ended under a task. The runner may have been restarted before, and the run not held
 * to have ended since; the later process counts only if it may have executed the start as well.
 */
function incarnationOf(
  { member }: Occupant,
  runner: Runner,
): { readonly processStartedAt: number; readonly isFurther: boolean } {
  const isFurther =
    member.processStartedAt !== runner.listed.processStartedAt && member.history.mayStillStart;
  const { processStartedAt } = isFurther ? runner.listed : member;
  return { processStartedAt, isFurther };
}

function judge(
  group: TaskGroup,
  occupants: readonly Occupant[],
  latestStart: number,
): CrashSuspicion {
  if (group.isRestored) {
    return CrashSuspicion.beside;
  }
  if (occupants.every((occupant) => occupant.group === group)) {
    return CrashSuspicion.alone;
  }
  return latestStart - group.startRequestedAt <= simultaneousMs
    ? CrashSuspicion.latest
    : CrashSuspicion.beside;
}
