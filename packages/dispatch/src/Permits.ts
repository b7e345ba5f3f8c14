import type { Advice } from './Job.js';
import type { Runner } from './Runner.js';
import type { TaskGroup } from './TaskGroup.js';

/** Right to start the tasks of one step on one incarnation of a runner; times are monotonic. */
export interface Permit {
  /** Opaque text that the runner checks. */
  readonly text: string;
  /** Time until which a placement may rely on the permit. */
  readonly placeBy: number;
  /** Time until which a start command with the permit may be sent. */
  readonly sendBy: number;
}

/** What the advice service has said about a runner for a step. */
export const RunnerAdvice = {
  /** The service has not been asked about the present incarnation. */
  unknown: 'unknown',
  good: 'good',
  bad: 'bad',
} as const;
export type RunnerAdvice = (typeof RunnerAdvice)[keyof typeof RunnerAdvice];

/** A runner in a question, in the incarnation that the answer is valid for. */
export interface NamedRunner {
  readonly id: string;
  readonly processStartedAt: number;
}

/** A call of the advice service: which of these runners may run the step? */
export interface AdviceQuestion {
  /** Job id, occurrence and index of the step, as in the names of its tasks. */
  readonly step: string;
  readonly runners: readonly NamedRunner[];
  /** Milliseconds after which the service answers. */
  readonly expectedMs: number;
  /** Whether urgent work waits for the answer. */
  readonly isUrgent: boolean;
}

export interface AdviceAnswer {
  /** Ids of the runners that may run the step, with the texts of their permits. */
  readonly good: readonly (readonly [id: string, text: string])[];
  /** Milliseconds for which the permits are valid. */
  readonly validityMs: number;
}

interface AdvisedRunner {
  readonly processStartedAt: number;
  isGood: boolean;
  permit: Permit | undefined;
  /** Permits that the runner has refused since it last accepted one. */
  refusals: number;
}

/**
 * Milliseconds of the validity that remain for a placement: storing the progress record, confirming
 * the runner and sending the start take this long while the store is slow.
 */
const maxPlacementMarginMs = 700;
/** Milliseconds that a start call may take to arrive: the timeout of its first attempt. */
const maxSendMarginMs = 250;
/** Largest part of a short validity that each margin may take. */
const maxMarginShare = 0.25;
/** Refused permits in a row after which the runner counts as bad for the step. */
const maxRefusals = 3;
/** Assumed answers and good ones among them before the first answer: a third is good. */
const assumedAnswers = 3;
const assumedGood = 1;

/** Most runners that one call of the advice service may name. */
export const maxNamedRunners = 100;
/** Runners named in a typical call; a step of many tasks fits on fewer runners than it has tasks. */
const typicalNamedRunners = 20;

/** Milliseconds after which the service answers a call that names `count` runners. */
export function answerMs(advice: Advice, count: number): number {
  return advice.decisionMs + advice.periodMs * count;
}

/** Expected milliseconds until the first permits of a step of `tasks` tasks; 0 without advice. */
export function expectedAskMs(advice: Advice | undefined, tasks: number): number {
  return advice === undefined ? 0 : answerMs(advice, Math.min(tasks, typicalNamedRunners));
}

/** Key of the step of a task group: the name of its tasks without their index. */
export function stepKey(group: TaskGroup): string {
  return `${group.job.id}.${group.occurrence}.${group.stepIndex}`;
}

/**
 * What the advice service has said about the runners, by step. It is not stored: a successor asks
 * anew.
 */
export class Permits {
  private readonly steps = new Map<string, Map<string, AdvisedRunner>>();

  private answers = assumedAnswers;

  private goodAnswers = assumedGood;

  /** Monotonic times before which the service is not asked about a step. */
  private readonly postponed = new Map<string, number>();

  /** Answered calls for urgent work since the last one for other work. */
  public urgentCalls = 0;

  /** Whether the last call of the service failed. */
  public isUnavailable = false;

  /** Expected share of good runners among those that the service is asked about. */
  public get goodShare(): number {
    return this.goodAnswers / this.answers;
  }

  public get isEmpty(): boolean {
    return this.steps.size + this.postponed.size === 0;
  }

  public adviceOn(step: string, runner: Runner): RunnerAdvice {
    const advised = this.find(step, runner);
    if (advised === undefined) {
      return RunnerAdvice.unknown;
    }
    return advised.isGood ? RunnerAdvice.good : RunnerAdvice.bad;
  }

  /** The latest permit, which may have lapsed. */
  public permitFor(step: string, runner: Runner): Permit | undefined {
    return this.find(step, runner)?.permit;
  }

  /** Permits of a step on which placements may rely now, by runner id. */
  public validFor(
    step: string,
    runners: ReadonlyMap<string, Runner>,
    now: number,
  ): Map<string, Permit> {
    const valid = new Map<string, Permit>();
    this.steps.get(step)?.forEach(({ processStartedAt, permit }, id) => {
      const isSameIncarnation = runners.get(id)?.listed.processStartedAt === processStartedAt;
      if (isSameIncarnation && permit !== undefined && now <= permit.placeBy) {
        valid.set(id, permit);
      }
    });
    return valid;
  }

  /** Number of permits on which placements may rely now. */
  public countValid(runners: ReadonlyMap<string, Runner>, now: number): number {
    return [...this.steps.keys()].reduce(
      (sum, step) => sum + this.validFor(step, runners, now).size,
      0,
    );
  }

  /**
   * Records an answer and returns the ids in it that the question did not name. With such ids the
   * answer is that to another question, so that it shows no runner to be bad.
   *
   * @param answeredAt latest time from which the validity can count
   */
  public record(question: AdviceQuestion, answer: AdviceAnswer, answeredAt: number): string[] {
    const texts = new Map(answer.good);
    const named = new Set(question.runners.map(({ id }) => id));
    const foreignIds = [...texts.keys()].filter((id) => !named.has(id));
    this.isUnavailable = foreignIds.length > 0;
    this.urgentCalls = question.isUrgent ? this.urgentCalls + 1 : 0;
    const advised = this.steps.get(question.step) ?? new Map<string, AdvisedRunner>();
    this.steps.set(question.step, advised);
    question.runners.forEach(({ id, processStartedAt }) => {
      const text = texts.get(id);
      if (text === undefined && foreignIds.length > 0) {
        return;
      }
      const known = advised.get(id);
      const isNew = known?.processStartedAt !== processStartedAt;
      if (isNew) {
        this.answers += 1;
        this.goodAnswers += text === undefined ? 0 : 1;
      }
      advised.set(id, {
        processStartedAt,
        isGood: text !== undefined,
        permit: text === undefined ? undefined : createPermit(text, answer, answeredAt),
        refusals: isNew ? 0 : known.refusals,
      });
    });
    return foreignIds;
  }

  /**
   * Records that the runner refused a start for its permit. The service is asked again; a runner
   * that goes on refusing counts as bad, so that its step is not started there for ever.
   */
  public recordRefusal(step: string, runner: Runner): number {
    const advised = this.find(step, runner);
    // Several starts with the same permit may be refused at once.
    if (advised?.permit !== undefined) {
      advised.permit = undefined;
      advised.refusals += 1;
      advised.isGood &&= advised.refusals < maxRefusals;
    }
    return advised?.refusals ?? 0;
  }

  /** Records that the runner has accepted a permit. */
  public recordAcceptance(step: string, runner: Runner): void {
    const advised = this.find(step, runner);
    if (advised !== undefined) {
      advised.refusals = 0;
    }
  }

  /** Keeps the service from being asked about a step whose question was not answered properly. */
  public postpone(step: string, until: number): void {
    this.postponed.set(step, until);
  }

  public isPostponed(step: string, now: number): boolean {
    return now < (this.postponed.get(step) ?? -Infinity);
  }

  /** Forgets the steps of all jobs but these. */
  public retain(jobIds: ReadonlySet<string>): void {
    [this.steps, this.postponed].forEach((byStep) =>
      [...byStep.keys()]
        .filter((step) => !jobIds.has(step.slice(0, step.indexOf('.'))))
        .forEach((step) => byStep.delete(step)),
    );
  }

  private find(step: string, { id, listed }: Runner): AdvisedRunner | undefined {
    const advised = this.steps.get(step)?.get(id);
    return advised?.processStartedAt === listed.processStartedAt ? advised : undefined;
  }
}

function createPermit(text: string, { validityMs }: AdviceAnswer, answeredAt: number): Permit {
  const maxMarginMs = validityMs * maxMarginShare;
  const endsAt = answeredAt + validityMs;
  return {
    text,
    placeBy: endsAt - Math.min(maxPlacementMarginMs, maxMarginMs * 2),
    sendBy: endsAt - Math.min(maxSendMarginMs, maxMarginMs),
  };
}
