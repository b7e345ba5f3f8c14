import type { JobArrival } from '@apricothoist/testing';
import { replayQueues, ReplaySimulation } from '@apricothoist/testing';
import test from 'ava';

import type { Advice, Queue } from './Job.js';
import type { AdviceQuestion } from './Permits.js';
import { StartOutcome } from './StartOutcome.js';

const advice: Advice = { decisionMs: 120, periodMs: 5, validityMs: 3_000 };
const tickMs = 20;
const playMs = 30_000;

/** Every third runner may run a step; which ones differs from step to step. */
function isGood(step: string, runnerId: string): boolean {
  const text = `${step} ${runnerId}`;
  const hash = [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) % 9_973, 7);
  return hash % 3 === 0;
}

/** A simulation whose urgent and batch queues need permits, with the service that gives them. */
class AdvisedSimulation {
  public readonly simulation: ReplaySimulation;

  public calls = 0;

  /** Starts of a task without a valid ticket. */
  public invalidStarts = 0;

  private readonly validUntil = new Map<string, number>();

  private open: { question: AdviceQuestion; answersAt: number } | undefined;

  public constructor(racks: number, runnersPerRack: number) {
    this.simulation = new ReplaySimulation(racks, runnersPerRack);
    const { urgent, batch, large } = replayQueues as Record<string, Queue>;
    const queues = [{ ...urgent, advice }, { ...batch, advice }, large] as Queue[];
    const byName = new Map(queues.map((queue) => [queue.name, queue]));
    this.simulation.dispatcher.configure(byName, new Map());
    this.simulation.interceptStarts((command) => {
      const step = command.task.slice(0, command.task.lastIndexOf('.'));
      const until = this.validUntil.get(`${step} ${command.runnerId} ${command.permit}`) ?? 0;
      const isValid = this.simulation.now <= until;
      this.invalidStarts += isValid ? 0 : 1;
      return isValid ? undefined : StartOutcome.permitRefused;
    });
  }

  public run(until: number, load: readonly JobArrival[]): void {
    const { simulation } = this;
    while (simulation.now < until) {
      this.serve();
      const { now } = simulation;
      const due = load.filter(({ at }) => at >= now && at < now + tickMs);
      simulation.run(
        now + tickMs,
        due.map((arrival) => ({ ...arrival, at: now })),
      );
    }
  }

  private serve(): void {
    const { now, dispatcher } = this.simulation;
    if (this.open !== undefined && now >= this.open.answersAt) {
      const { question } = this.open;
      const validUntil = now + advice.validityMs;
      const good = question.runners
        .filter(({ id }) => isGood(question.step, id))
        .map(({ id }): [string, string] => [id, `t${this.calls}`]);
      good.forEach(([id, ticket]) =>
        this.validUntil.set(`${question.step} ${id} ${ticket}`, validUntil),
      );
      this.open = undefined;
      dispatcher.advice.record(question, { good, validityMs: advice.validityMs }, now);
    }
    const question = this.open === undefined ? dispatcher.advice.chooseQuestion(now) : undefined;
    if (question !== undefined) {
      this.calls += 1;
      this.open = { question, answersAt: now + question.expectedMs };
    }
  }

  /** Milliseconds from the arrival of each job of a queue to its first start, in ascending order. */
  public waits(queue: string): number[] {
    return [...this.simulation.jobs.values()]
      .filter((job) => job.queue === queue)
      .map(({ startedAt, arrivedAt }) => (startedAt || Infinity) - arrivedAt)
      .sort((left, right) => left - right);
  }
}

const urgentGang = { count: 5, isGang: true, prefersOneRack: true, declaredMs: 2_300 };
const batchStep = { count: 39, declaredMs: 6_300 };
const urgentSize = { cpu: 5_000, memoryMb: 4_000, accelerators: 1 };
const batchSize = { cpu: 3_900, memoryMb: 4_000, accelerators: 1 };

/** Urgent gangs and batch steps at even intervals. */
function evenLoad(urgentEveryMs: number, batchEveryMs: number): JobArrival[] {
  const series = (everyMs: number, arrival: Omit<JobArrival, 'at'>): JobArrival[] =>
    Array.from({ length: Math.floor((playMs - 8_000) / everyMs) }, (_, index) => ({
      ...arrival,
      at: 1_000 + index * everyMs,
    }));
  const urgent = { queue: 'urgent', steps: [{ ...urgentGang, size: urgentSize }] };
  const batch = { queue: 'batch', steps: [{ ...batchStep, size: batchSize }] };
  return [
    ...series(urgentEveryMs, { ...urgent, durationMs: 2_300 }),
    ...series(batchEveryMs, { ...batch, durationMs: 6_300 }),
  ];
}

/** Slack of urgent work, by its objective. */
const urgentSlackMs = 1_300;
/** Stops take 0.9 s, so that a gang that preempts may start later than its slack allows. */
const urgentShare = 0.9;
/** The target of batch work. */
const batchTargetMs = 3_000;

function shareWithin(waits: readonly number[], limitMs: number): number {
  return waits.filter((wait) => wait <= limitMs).length / waits.length;
}

for (const { racks, perRack, urgentEveryMs, batchEveryMs } of [
  { racks: 3, perRack: 10, urgentEveryMs: 700, batchEveryMs: 2_900 },
  { racks: 35, perRack: 7, urgentEveryMs: 500, batchEveryMs: 1_500 },
]) {
  // Guards against questions that name too many runners, or too few and then many times.
  test(`permits for a third of ${racks * perRack} runners: gangs and batch steps start in time`, (t) => {
    const advised = new AdvisedSimulation(racks, perRack);
    advised.run(playMs, evenLoad(urgentEveryMs, batchEveryMs));
    const { jobs } = advised.simulation;
    t.log(
      `urgent ${advised.waits('urgent').join(' ')}; batch ${advised.waits('batch').join(' ')} ms`,
    );
    t.log(`${advised.calls} calls for ${jobs.size} jobs`);
    t.true(shareWithin(advised.waits('urgent'), urgentSlackMs) >= urgentShare);
    t.is(shareWithin(advised.waits('batch'), batchTargetMs), 1);
    t.true([...jobs.values()].every(({ state }) => state === 'completed'));
    t.is(advised.invalidStarts, 0, 'no start without a valid permit');
    t.true(advised.calls <= 2 * jobs.size, `${advised.calls} calls for ${jobs.size} jobs`);
    const { calls } = advised;
    advised.run(playMs + 4_000, []);
    t.is(advised.calls, calls, 'no calls while nothing waits');
  });
}

// The first batch step waited 13.9 s for its turn while most runners were idle.
test('more urgent steps than the service has calls for: batch steps have their turn', (t) => {
  const advised = new AdvisedSimulation(35, 7);
  advised.run(playMs, evenLoad(150, 5_000));
  const batch = advised.waits('batch');
  t.log(`batch ${batch.join(' ')} ms`);
  t.is(shareWithin(batch, batchTargetMs), 1);
  t.is(advised.invalidStarts, 0);
});
