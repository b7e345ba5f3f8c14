import { isEligibleByRequirements } from './CapacityLedger.js';
import type { JobRank } from './DispatchOrder.js';
import { compareRanks, objectiveMs, rankJob } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import { coveredJobs } from './Guarantees.js';
import type { Advice } from './Job.js';
import type { AdviceQuestion } from './Permits.js';
import { answerMs, maxNamedRunners, RunnerAdvice, stepKey } from './Permits.js';
import { PlaceCount } from './PlaceCount.js';
import { PlaceOdds } from './PlaceOdds.js';
import { remainingRunMs } from './RemainingTime.js';
import type { Resources } from './Resources.js';
import { countFitting, multiply, subtract } from './Resources.js';
import type { Runner } from './Runner.js';
import { isUsable } from './RunnerAvailability.js';
import type { TaskGroup } from './TaskGroup.js';

/** The waiting task groups of one step. */
interface WaitingStep {
  readonly key: string;
  readonly rank: JobRank;
  readonly advice: Advice;
  /** One of them; all have the same requirements. */
  readonly group: TaskGroup;
  tasks: number;
  /** Runners on which its task group has reserved capacity. */
  readonly reservedOn: ReadonlySet<string> | undefined;
}

/** A runner that the step may run on as far as is known. */
interface Option {
  readonly runner: Runner;
  readonly isGood: boolean;
  /** Whether its permit stays valid for longer than another call takes. */
  readonly hasPermit: boolean;
  /** Number of tasks of the step for which there is room now. */
  readonly free: number;
  /** The same on the empty runner. */
  readonly capacity: number;
}

type Measure = 'free' | 'capacity';

/** Runners with a permit, and others of which some are to be named. */
interface Choice {
  readonly held: readonly Option[];
  readonly others: readonly Option[];
  readonly measure: Measure;
  /** Number of good places that suffices: all of them for a gang, else expected ones. */
  readonly wanted: number;
  readonly isInOneRack: boolean;
}

/** Expected good places per single task for which runners are named, so that one call suffices. */
const placesPerTask = 1.5;
/** Probability, when a gang's runners are named, that the good ones hold it. */
const sufficientOdds = 0.9;
/** Good places per task on occupied runners, because not every occupant may be preempted. */
const occupiedPlacesPerTask = 2;
/**
 * Milliseconds that naming runners may add to a call. The next call has to wait for it, and urgent
 * work has about 1.3 s of slack.
 */
const maxNamingMs = 400;
/**
 * Calls for urgent work in a row after which a step of other work that has waited for
 * `maxAskWaitMs` has a turn. Without it, batch work waits for the end of a burst of urgent steps
 * while most runners are idle, which the service requirements allow for three seconds.
 */
const maxUrgentCalls = 3;
const maxAskWaitMs = 1_000;
/** Milliseconds beyond the expected answer by which a permit is renewed before it lapses. */
const renewalMarginMs = 150;

/**
 * Chooses the next question to the advice service: about which step, and which runners to name.
 *
 * Load pattern: many urgent gangs of few tasks and batch steps of dozens, of which each may run on
 * a third of the runners; the service answers one call at a time, later the more runners are named.
 * The highest-ranked waiting step that lacks permits comes first. Runners with room for it are
 * named, as few as probably suffice. A step takes the room that its permits cover, so that no call
 * is made for lower-ranked work that would not start.
 */
export class AdviceSearch {
  private readonly runners: readonly Runner[];

  private readonly room = new Map<string, Resources>();

  public constructor(
    private readonly state: DispatchState,
    private readonly now: number,
  ) {
    this.runners = [...state.runners.values()].filter(
      (runner) => runner.closedUntil <= now && isUsable(state, runner, now),
    );
    this.runners.forEach((runner) => this.room.set(runner.id, runner.unreservedCapacity));
  }

  public find(): AdviceQuestion | undefined {
    const { permits } = this.state;
    for (const step of this.waitingSteps()) {
      const isPostponed = permits.isPostponed(step.key, this.now);
      const question = isPostponed ? undefined : this.questionAbout(step);
      if (question !== undefined) {
        return question;
      }
    }
    return undefined;
  }

  // Task groups with reserved capacity come first: their victims have been stopped already.
  private waitingSteps(): WaitingStep[] {
    const { openJobs, accounts, estimates, reserved } = this.state;
    const guaranteed = coveredJobs(openJobs, accounts);
    const rank = (group: TaskGroup): JobRank =>
      rankJob(group.job, guaranteed.has(group.job), estimates, this.now, (running) =>
        remainingRunMs(running, this.state, this.now),
      );
    const steps = new Map<string, WaitingStep>();
    openJobs.forEach((job) => {
      const { advice } = job.queue;
      if (advice === undefined) {
        return;
      }
      job.readyGroups.forEach((group) => {
        const key = stepKey(group);
        const known = steps.get(key);
        if (known === undefined) {
          const tasks = group.members.length;
          steps.set(key, { key, rank: rank(group), advice, group, tasks, reservedOn: undefined });
        } else {
          known.tasks += group.members.length;
        }
      });
    });
    const withReservation = [...reserved].flatMap((group): WaitingStep[] => {
      const { advice } = group.job.queue;
      const reservedOn = this.runners.filter(({ reservations }) => reservations.has(group));
      const tasks = group.members.length;
      const ids = new Set(reservedOn.map(({ id }) => id));
      const key = stepKey(group);
      return advice === undefined
        ? []
        : [{ key, rank: rank(group), advice, group, tasks, reservedOn: ids }];
    });
    const { urgentCalls } = this.state.permits;
    const isDue = ({ rank: { isUrgent, job } }: WaitingStep): boolean =>
      !isUrgent && urgentCalls >= maxUrgentCalls && this.now - job.arrivedAt > maxAskWaitMs;
    const byRank = (left: WaitingStep, right: WaitingStep): number =>
      Number(isDue(right)) - Number(isDue(left)) || compareRanks(left.rank, right.rank);
    return [...withReservation.sort(byRank), ...[...steps.values()].sort(byRank)];
  }

  private questionAbout(step: WaitingStep): AdviceQuestion | undefined {
    const options = preferDataRack(step, this.optionsOf(step));
    const held = options.filter(({ hasPermit }) => hasPermit);
    const others = options.filter(({ hasPermit }) => !hasPermit);
    if (step.reservedOn !== undefined) {
      const lapsing = others.filter(({ runner }) => step.reservedOn?.has(runner.id));
      return lapsing.length === 0 ? undefined : createQuestion(step, lapsing);
    }
    const isInOneRack = isWantedInOneRack(step, options);
    const places = (among: readonly Option[], measure: Measure): number =>
      countPlaces(among, measure, isInOneRack);
    if (places(held, 'free') >= step.tasks) {
      this.takeRoom(step, held);
      return undefined;
    }
    const withRoom = others.filter(({ free }) => free > 0);
    const mayStart = !step.group.step.isGang || places(options, 'free') >= step.tasks;
    if (withRoom.length > 0 && mayStart) {
      const wanted = step.group.step.isGang ? step.tasks : step.tasks * placesPerTask;
      const choice = { held, others: withRoom, measure: 'free', wanted, isInOneRack } as const;
      return createQuestion(step, this.choose(step, choice));
    }
    this.takeRoom(step, held);
    // Urgent work may preempt, for which it must be known where.
    const wanted = isInOneRack ? step.tasks : step.tasks * occupiedPlacesPerTask;
    const occupied = others.filter(({ capacity }) => capacity > 0);
    if (!step.rank.isUrgent || occupied.length === 0 || places(held, 'capacity') >= wanted) {
      return undefined;
    }
    const choice = { held, others: occupied, measure: 'capacity', wanted, isInOneRack } as const;
    return createQuestion(step, this.choose(step, choice));
  }

  private optionsOf({ key, group, advice, tasks }: WaitingStep): Option[] {
    const { permits } = this.state;
    const { perRunnerLimit = Infinity } = group.step;
    const renewalMs = answerMs(advice, 1) + renewalMarginMs;
    const places = (runner: Runner, available: Resources, used: number): number =>
      Math.max(0, Math.min(countFitting(group.size, available), tasks, perRunnerLimit - used));
    return this.runners
      .filter((runner) => isEligibleByRequirements(group, runner))
      .map((runner) => ({ runner, known: permits.adviceOn(key, runner) }))
      .filter(({ known }) => known !== RunnerAdvice.bad)
      .map(({ runner, known }) => {
        const placeBy = permits.permitFor(key, runner)?.placeBy ?? -Infinity;
        const available = this.room.get(runner.id) ?? runner.unreservedCapacity;
        const used = perRunnerLimit === Infinity ? 0 : runner.countStepTasks(group);
        return {
          runner,
          isGood: known === RunnerAdvice.good,
          hasPermit: placeBy - this.now > Math.min(renewalMs, advice.validityMs / 4),
          free: places(runner, available, used),
          capacity: places(runner, runner.listed.capacity, 0),
        };
      });
  }

  // Adds runners until the expected good places suffice. Those with the most room come first, and
  // for a gang in one rack those of the rack with the most expected places.
  private choose(
    step: WaitingStep,
    { held, others, measure, wanted, isInOneRack }: Choice,
  ): Option[] {
    const { goodShare } = this.state.permits;
    const { isGang } = step.group.step;
    const expected = (option: Option): number =>
      option[measure] * (option.isGood || option.hasPermit ? 1 : goodShare);
    const siteOf = ({ runner }: Option): string => (isInOneRack ? runner.listed.rack : '');
    const attainable = new PlaceCount(siteOf, expected, [...held, ...others]);
    const ordered = [...others].sort(
      (left, right) =>
        attainable.at(right) - attainable.at(left) ||
        siteOf(left).localeCompare(siteOf(right)) ||
        expected(right) - expected(left),
    );
    const expectedPlaces = new PlaceCount(siteOf, expected, held);
    const odds = new PlaceOdds(Math.ceil(wanted));
    held.forEach((option) => odds.add(siteOf(option), option[measure], 1));
    const possiblePlaces = new PlaceCount(siteOf, (option) => option[measure], held);
    const timeLimit = this.limitByTime(step);
    const chosen: Option[] = [];
    for (const option of ordered) {
      const isLong = chosen.length >= timeLimit && possiblePlaces.most >= step.tasks;
      const isProbable = isGang ? odds.success >= sufficientOdds : expectedPlaces.most >= wanted;
      const isEnough = isProbable || isLong;
      if (chosen.length >= maxNamedRunners || (chosen.length > 0 && isEnough)) {
        break;
      }
      chosen.push(option);
      expectedPlaces.add(option);
      possiblePlaces.add(option);
      odds.add(siteOf(option), option[measure], option.isGood ? 1 : goodShare);
    }
    return chosen;
  }

  // Number of runners whose naming still leaves the job in time.
  private limitByTime({ rank, advice }: WaitingStep): number {
    const slackMs = rank.slackShare * objectiveMs(rank.job, this.state.estimates);
    const namingMs = Math.max(0, Math.min(maxNamingMs, slackMs));
    return advice.periodMs > 0 ? Math.floor(namingMs / advice.periodMs) : maxNamedRunners;
  }

  private takeRoom({ group, tasks }: WaitingStep, held: readonly Option[]): void {
    let missing = tasks;
    held.forEach(({ runner, free }) => {
      const count = Math.min(free, missing);
      const room = this.room.get(runner.id);
      missing -= count;
      if (room !== undefined && count > 0) {
        this.room.set(runner.id, subtract(room, multiply(group.size, count)));
      }
    });
  }
}

// Runners outside the rack of the data are asked about once it has no room.
function preferDataRack({ group }: WaitingStep, options: readonly Option[]): readonly Option[] {
  const { dataRack } = group.step;
  const local = options.filter(({ runner }) => runner.listed.rack === dataRack);
  return countPlaces(local, 'free', false) >= group.members.length ? local : options;
}

// A gang that prefers one rack is spread where no rack can hold it. Urgent gangs may preempt in a
// rack; others need one with room, or else permits in several, since they do not wait for a rack
// while the service is mostly idle.
function isWantedInOneRack(
  { group, tasks, rank }: WaitingStep,
  options: readonly Option[],
): boolean {
  const { isGang, prefersOneRack } = group.step;
  const measure = rank.isUrgent ? 'capacity' : 'free';
  return isGang && prefersOneRack && countPlaces(options, measure, true) >= tasks;
}

function createQuestion(
  { key, advice, rank }: WaitingStep,
  options: readonly Option[],
): AdviceQuestion {
  const runners = options.slice(0, maxNamedRunners).map(({ runner }) => ({
    id: runner.id,
    processStartedAt: runner.listed.processStartedAt,
  }));
  const expectedMs = answerMs(advice, runners.length);
  return { step: key, runners, expectedMs, isUrgent: rank.isUrgent };
}

function countPlaces(options: readonly Option[], measure: Measure, isInOneRack: boolean): number {
  const siteOf = ({ runner }: Option): string => (isInOneRack ? runner.listed.rack : '');
  return new PlaceCount(siteOf, (option) => option[measure], options).most;
}
