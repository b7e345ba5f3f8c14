import { delay } from '@apricothoist/common';
import type { Advice, AdviceAnswer, AdviceQuestion, StartCommand } from '@apricothoist/dispatch';
import { JobState } from '@apricothoist/dispatch';
import { plainStep } from '@apricothoist/testing';
import test from 'ava';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { AdviceClient } from './AdviceClient.js';
import { AdviceError, AdviceErrorKind } from './AdviceClient.js';
import { queue, VirtualDeployment } from './testing/VirtualDeployment.js';

const advice: Advice = { decisionMs: 60, periodMs: 10, validityMs: 3_000 };
const runners = 6;
const limitMs = 20_000;
const outageMs = 4_000;
/** Back-off of 0.1 s that doubles up to 1.5 s, less its jitter: at most six failures in 4 s. */
const maxFailuresInOutage = 7;

interface Ticket {
  readonly step: string;
  readonly runnerId: string;
  readonly processStartedAt: number;
  readonly validUntil: number;
}

/** Advice service in virtual time: every second runner is good. */
class FakeAdvice implements AdviceClient {
  /** Fails calls before they are answered, by their step. */
  public failure: (step: string) => AdviceErrorKind | undefined = () => undefined;

  /** Milliseconds that an answer takes beyond the announced time. */
  public lateMs = 0;

  /** Milliseconds for which tickets are valid in truth. */
  public validMs = advice.validityMs;

  public readonly asked: AdviceQuestion[] = [];

  public mostOpen = 0;

  /** Starts that runners refused. */
  public refusedStarts = 0;

  private open = 0;

  private readonly tickets = new Map<string, Ticket>();

  public constructor(private readonly deployment: () => VirtualDeployment) {}

  public async advise(
    question: AdviceQuestion,
    deadline: number,
  ): Promise<Result<AdviceAnswer, AdviceError>> {
    this.asked.push(question);
    this.open += 1;
    this.mostOpen = Math.max(this.mostOpen, this.open);
    const result = await this.respond(question, deadline);
    this.open -= 1;
    return result;
  }

  public admits(command: StartCommand, processStartedAt: number, now: number): boolean {
    const ticket = this.tickets.get(command.permit ?? '');
    const isValid =
      ticket !== undefined &&
      command.task.startsWith(`${ticket.step}.`) &&
      ticket.runnerId === command.runnerId &&
      ticket.processStartedAt === processStartedAt &&
      now <= ticket.validUntil;
    this.refusedStarts += isValid ? 0 : 1;
    return isValid;
  }

  private async respond(
    { step, runners: named, expectedMs }: AdviceQuestion,
    deadline: number,
  ): Promise<Result<AdviceAnswer, AdviceError>> {
    const deployment = this.deployment();
    const kind = this.failure(step);
    const tookMs = expectedMs + this.lateMs;
    if (kind === AdviceErrorKind.unanswered || deployment.now + tookMs > deadline) {
      await delay(deadline - deployment.now);
      return err(new AdviceError(AdviceErrorKind.unanswered, 'no answer'));
    }
    if (kind !== undefined) {
      return err(new AdviceError(kind, 'no advice'));
    }
    await delay(expectedMs);
    const good = named
      .filter(({ id }) => Number(id.slice(1)) % 2 === 0)
      .map(({ id }): [string, string] => [id, this.issue(step, id)]);
    await delay(this.lateMs);
    return ok({ good, validityMs: advice.validityMs });
  }

  private issue(step: string, runnerId: string): string {
    const { pool, now } = this.deployment();
    const ticket = `ticket ${this.tickets.size}`;
    const { processStartedAt } = pool.get(runnerId);
    this.tickets.set(ticket, { step, runnerId, processStartedAt, validUntil: now + this.validMs });
    return ticket;
  }
}

interface Fixture extends Disposable {
  readonly deployment: VirtualDeployment;
  readonly service: FakeAdvice;
}

/** A holder whose queue needs advice. */
function advisedDeployment(durationMs = 1_000): Fixture {
  let deployment: VirtualDeployment | undefined;
  const service = new FakeAdvice(() => deployment as VirtualDeployment);
  deployment = new VirtualDeployment({
    runners,
    durationMs,
    queue: { ...queue, advice },
    advice: service,
    admitsPermit: (...start) => service.admits(...start),
  });
  const created = deployment;
  return { deployment: created, service, [Symbol.dispose]: () => created[Symbol.dispose]() };
}

const jobId = (number: number): string => String(number).padStart(16, '0');

test.serial(
  'one call at a time; nothing is asked before work waits, nor after it has started',
  async (t) => {
    using fixture = advisedDeployment();
    const { deployment, service } = fixture;
    deployment.takeOver();
    await deployment.run(2_000);
    t.is(service.asked.length, 0);
    for (let number = 1; number <= 4; number += 1) {
      deployment.submit(jobId(number), [{ count: 3, isGang: true }]);
    }
    t.true(await deployment.runUntilCompleted(limitMs));
    t.is(service.mostOpen, 1);
    t.is(service.refusedStarts, 0);
    const calls = service.asked.length;
    await deployment.run(5_000);
    t.is(service.asked.length, calls);
    const started = deployment.pool.records.map(({ runnerId }) => runnerId);
    t.true(started.every((id) => Number(id.slice(1)) % 2 === 0));
  },
);

for (const kind of Object.values(AdviceErrorKind)) {
  test.serial(
    `calls fail (${kind}) for seconds: back-off, no start, and work goes on afterwards`,
    async (t) => {
      using fixture = advisedDeployment();
      const { deployment, service } = fixture;
      service.failure = () => kind;
      deployment.takeOver();
      deployment.submit(jobId(1), [plainStep]);
      await deployment.run(outageMs);
      t.is(deployment.pool.records.length, 0);
      t.true(service.asked.length >= 2 && service.asked.length <= maxFailuresInOutage);
      service.failure = () => undefined;
      t.true(await deployment.runUntilCompleted(limitMs));
      t.is(service.refusedStarts, 0);
    },
  );
}

test.serial('a step that the service rejects does not hold up another one', async (t) => {
  using fixture = advisedDeployment();
  const { deployment, service } = fixture;
  service.failure = (step) => (step.startsWith(jobId(1)) ? AdviceErrorKind.refused : undefined);
  deployment.takeOver();
  deployment.submit(jobId(1), [plainStep]);
  await deployment.run(1_000);
  deployment.submit(jobId(2), [plainStep]);
  t.true(await deployment.runUntil(() => deployment.stateOf(jobId(2)) === 'completed', 5_000));
  t.is(deployment.stateOf(jobId(1)), JobState.queued);
});

test.serial(
  'slow answers are used while their tickets are valid; too late ones are not',
  async (t) => {
    using fixture = advisedDeployment();
    const { deployment, service } = fixture;
    service.lateMs = 200;
    deployment.takeOver();
    deployment.submit(jobId(1), [plainStep]);
    t.true(await deployment.runUntilCompleted(limitMs));
    t.is(service.refusedStarts, 0);
    service.lateMs = 2_000;
    deployment.submit(jobId(2), [plainStep]);
    await deployment.run(outageMs);
    t.is(deployment.stateOf(jobId(2)), JobState.queued);
  },
);

test.serial('a successor asks anew, and uses no permit of its predecessor', async (t) => {
  using fixture = advisedDeployment();
  const { deployment, service } = fixture;
  deployment.takeOver();
  deployment.submit(jobId(1), [{ count: runners * 8 }]);
  await deployment.run(1_000);
  const calls = service.asked.length;
  t.true(calls > 0 && deployment.pool.records.length > 0);
  deployment.takeOver();
  t.is(deployment.scheduling.dispatcher.advice.summarize(deployment.now).held, 0);
  t.true(await deployment.runUntilCompleted(limitMs));
  t.true(service.asked.length > calls);
  t.is(service.refusedStarts, 0);
});

test.serial('a permit of an earlier life of a runner is not used', async (t) => {
  using fixture = advisedDeployment(3_000);
  const { deployment, service } = fixture;
  deployment.takeOver();
  // More tasks than the good runners hold, so that some wait with valid permits.
  deployment.submit(jobId(1), [{ count: runners * 8 }]);
  await deployment.run(1_500);
  deployment.restart('r2', 300);
  t.true(await deployment.runUntilCompleted(limitMs * 2));
  t.is(service.refusedStarts, 0);
});

// The service promises a longer validity than the runners grant.
test.serial(
  'tickets that lapse early are refused, and the work starts with newer ones',
  async (t) => {
    using fixture = advisedDeployment();
    const { deployment, service } = fixture;
    service.validMs = 800;
    deployment.takeOver();
    deployment.submit(jobId(1), [{ count: runners * 8 }]);
    t.true(await deployment.runUntilCompleted(limitMs));
    t.true(service.refusedStarts > 0);
    const { state } = deployment.scheduling.dispatcher;
    t.is(state.counters.refusedPermits, service.refusedStarts);
    t.true([...state.runners.values()].every(({ quarantinedUntil }) => quarantinedUntil === 0));
  },
);
