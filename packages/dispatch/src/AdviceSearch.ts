import { isEligibleByRequirements } from './CapacityLedger.js';
import type { JobRank } from './DispatchOrder.js';
import { compareRanks, objectiveMs, rankJob } from './DispatchOrder.js';
import type { DispatchState } from './DispatchState.js';
import { coveredJobs } from './Guarantees.js';
import type { Advice } from './Job.js';
import type { AdviceQuestion } from './Permits.js';
import { answerMs, maxNamedRunners, RunnerAdvice, stepKey } from './Permits.js';
import type { Resources } from './Resources.js';
import { PlaceCount } from './PlaceCount.js';
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
  /** Number of expected good places that suffices. */
  readonly wanted: number;
  readonly isInOneRack: boolean;
}

/** Expected good places per waiting task for which runners are named, so that one call suffices. */
const placesPerTask = 1.5;
/** The same on occupied runners, because not every occupant may be preempted. */
const occupiedPlacesPerTask = 2;
/**
 * Milliseconds that naming runners may add to a call. The next call has to wait for it, and urgent
 * work has about 1.3 s of slack.
 */
const maxNamingMs = 400;
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
      rankJob(group.job, guaranteed.has(group.job), estimates, this.now);
    const steps = new Map<string, WaitingStep>();
    openJobs.forEach((job) => {
      const { advice } = job.queue;
      job.readyGroups.forEach((group) => {
        if (advice === undefined) {
          return;
        }
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
    const byRank = (left: WaitingStep, right: WaitingStep): number =>
      compareRanks(left.rank, right.rank);
    return [...withReservation.sort(byRank), ...[...steps.values()].sort(byRank)];
  }

  private questionAbout(step: WaitingStep): AdviceQuestion | undefined {
    const options = this.optionsOf(step);
    const held = options.filter(({ hasPermit }) => hasPermit);
    const others = options.filter(({ hasPermit }) => !hasPermit);
    if (step.reservedOn !== undefined) {
      const lapsing = others.filter(({ runner }) => step.reservedOn?.has(runner.id));
      return lapsing.length === 0 ? undefined : createQuestion(step, lapsing);
    }
    const isInOneRack = fitsInOneRack(step, options);
    const places = (among: readonly Option[], measure: Measure): number =>
      countPlaces(among, measure, isInOneRack);
    if (places(held, 'free') >= step.tasks) {
      this.takeRoom(step, held);
      return undefined;
    }
    const withRoom = others.filter(({ free }) => free > 0);
    const mayStart = !step.group.step.isGang || places(options, 'free') >= step.tasks;
    if (withRoom.length > 0 && mayStart) {
      const wanted = step.tasks * placesPerTask;
      const choice = { held, others: withRoom, measure: 'free', wanted, isInOneRack } as const;
      return createQuestion(step, this.choose(step, choice));
    }
    this.takeRoom(step, held);
    // Urgent work may preempt, for which it must be known where.
    const wanted = step.tasks * occupiedPlacesPerTask;
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
    const possiblePlaces = new PlaceCount(siteOf, (option) => option[measure], held);
    const timeLimit = this.limitByTime(step);
    const chosen: Option[] = [];
    for (const option of ordered) {
      const isLong = chosen.length >= timeLimit && possiblePlaces.most >= step.tasks;
      const isEnough = expectedPlaces.most >= wanted || isLong;
      if (chosen.length >= maxNamedRunners || (chosen.length > 0 && isEnough)) {
        break;
      }
      chosen.push(option);
      expectedPlaces.add(option);
      possiblePlaces.add(option);
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

// A rack in which too few runners are left is not asked about for the sake of a gang.
function fitsInOneRack({ group, tasks }: WaitingStep, options: readonly Option[]): boolean {
  const { isGang, prefersOneRack } = group.step;
  return isGang && prefersOneRack && countPlaces(options, 'capacity', true) >= tasks;
}

function createQuestion({ key, advice }: WaitingStep, options: readonly Option[]): AdviceQuestion {
  const runners = options.slice(0, maxNamedRunners).map(({ runner }) => ({
    id: runner.id,
    processStartedAt: runner.listed.processStartedAt,
  }));
  return { step: key, runners, expectedMs: answerMs(advice, runners.length) };
}

function countPlaces(options: readonly Option[], measure: Measure, isInOneRack: boolean): number {
  const siteOf = ({ runner }: Option): string => (isInOneRack ? runner.listed.rack : '');
  return new PlaceCount(siteOf, (option) => option[measure], options).most;
}
