import type { Clock, Random, Event } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';
import PQueue from 'p-queue';

import { admit } from './Admission.js';
import type { Course } from './Course.js';
import { createCourse } from './Course.js';
import type { Endpoint } from './Endpoint.js';
import type { EndpointTable } from './EndpointTable.js';
import type { TicketOptions, WeightOf } from './FairQueue.js';
import { FairQueue } from './FairQueue.js';
import { OpenCourses } from './OpenCourses.js';
import { RetryBudget } from './RetryBudget.js';
import type {
  EndpointSender,
  PeerForwarder,
  RequestClaims,
  ClaimResult,
} from './RouterServices.js';
import { ServiceRate } from './ServiceRate.js';
import type { AttemptResult, Refusal, RouteResult, Ticket } from './Ticket.js';
import { AttemptOutcome, RefusalReason } from './Ticket.js';

/** Limits of one service. */
export interface ServiceLimits {
  /** Milliseconds that one attempt may take. */
  readonly timeoutMs: number;
  /** Retries allowed per hundred first tries. */
  readonly retryPercent: number;
}

/** What one service's router works with. */
export interface RouterServices<Body, Answer> {
  readonly clock: Clock;
  readonly random: Random;
  readonly endpoints: EndpointTable;
  readonly sender: EndpointSender<Body, Answer>;
  readonly peers: PeerForwarder<Body, Answer>;
  readonly claims: RequestClaims;
  readonly weightOf: WeightOf;
  /** Open requests that an account may have at this instance; undefined for unknown accounts. */
  readonly limitOf: (account: string) => number | undefined;
}

/** Milliseconds between looks for queued requests that can no longer be answered in time. */
const sweepIntervalMs = 20;
/** How many times longer than its pace says a queue may take before its last ones are refused. */
const paceTolerance = 1.5;
const maxSends = 4;
const retryAfterBaseMs = 200;
const retryAfterSpread = 0.5;

/** Carries the requests of one service from admission to the final answer. */
export class RequestRouter<Body, Answer> implements AsyncDisposable {
  private readonly fairQueue: FairQueue;

  private readonly queue: PQueue<FairQueue, TicketOptions>;

  private readonly courses = new OpenCourses<Body, Answer>();

  private readonly rate = new ServiceRate();

  private readonly budget: RetryBudget;

  private readonly leavingSeen = new Emitter<string>();

  /** Fires with the identifier of an endpoint that said itself that it is leaving. */
  public readonly onEndpointLeaving: Event<string> = this.leavingSeen.event;

  private sweeper: NodeJS.Timeout | undefined;

  private isStopping = false;

  public retries = 0;

  public constructor(
    private readonly services: RouterServices<Body, Answer>,
    private readonly limits: ServiceLimits,
  ) {
    this.fairQueue = new FairQueue(services.weightOf, services.clock);
    const { fairQueue } = this;
    // p-queue constructs its queue class itself.
    function QueueClass(): FairQueue {
      return fairQueue;
    }
    this.queue = new PQueue<FairQueue, TicketOptions>({
      concurrency: 1,
      queueClass: QueueClass as unknown as new () => FairQueue,
    });
    this.budget = new RetryBudget(limits.retryPercent);
  }

  /** Requests queued or running at this instance. */
  public get open(): number {
    return this.courses.size;
  }

  public get queued(): number {
    return this.fairQueue.size;
  }

  /** Slots that this instance could use for requests from elsewhere. */
  public get spareSlots(): number {
    const usable = this.services.endpoints.usableSlots(this.services.clock.monotonic());
    return this.isStopping ? 0 : Math.max(0, usable - this.queue.pending - this.fairQueue.size);
  }

  /** Routes one request. The promise settles with the final answer as soon as that is certain. */
  public route(ticket: Ticket, body: Body): Promise<RouteResult<Answer>> {
    const limit = this.services.limitOf(ticket.account);
    if (limit === undefined) {
      return Promise.resolve(this.refusal(RefusalReason.unknownAccount));
    }
    if (this.isStopping) {
      return Promise.resolve(this.refusal(RefusalReason.stopping));
    }
    this.refreshConcurrency();
    const refused = this.admit(ticket, limit);
    if (refused !== undefined) {
      return this.spill(ticket, body, refused);
    }
    this.budget.deposit();
    return this.enter(ticket, body);
  }

  /** Adjusts to changed endpoints or members. */
  public refreshConcurrency(): void {
    const usable = this.services.endpoints.usableSlots(this.services.clock.monotonic());
    this.queue.concurrency = Math.max(1, usable);
  }

  /** Takes no new requests and resolves when the open ones are answered. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    while (this.courses.size > 0) {
      await delay(sweepIntervalMs);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
    clearTimeout(this.sweeper);
    this.leavingSeen[Symbol.dispose]();
  }

  private admit(ticket: Ticket, accountLimit: number): Refusal | undefined {
    const state = {
      queue: this.fairQueue,
      concurrency: this.queue.concurrency,
      serviceMs: this.rate.meanMs,
      accountOpen: this.courses.countOf(ticket.account),
      accountLimit,
      weightOf: this.services.weightOf,
    };
    return admit(ticket, state, this.services.clock.monotonic());
  }

  private spill(ticket: Ticket, body: Body, refused: Refusal): Promise<RouteResult<Answer>> {
    const isSpillable = refused.reason === RefusalReason.overloaded && !ticket.isForwarded;
    const forwarded = isSpillable ? this.services.peers.forward(ticket, body) : undefined;
    return forwarded ?? Promise.resolve(this.withJitter(refused));
  }

  private enter(ticket: Ticket, body: Body): Promise<RouteResult<Answer>> {
    return new Promise((resolve) => {
      const course = createCourse(ticket, body, resolve);
      this.courses.add(course);
      this.enqueue(course);
      this.scheduleSweep();
    });
  }

  private enqueue(course: Course<Body, Answer>): void {
    const options = { ticket: course.ticket } as TicketOptions;
    this.queue
      .add(() => this.run(course), options)
      .catch(() => this.finish(course, this.refusal(RefusalReason.failed, course.mayHaveRun)));
  }

  private async run(course: Course<Body, Answer>): Promise<void> {
    if (course.isSettled) {
      return;
    }
    course.isRunning = true;
    try {
      await this.attempt(course);
    } finally {
      course.isRunning = false;
      this.refreshConcurrency();
    }
  }

  private async attempt(course: Course<Body, Answer>): Promise<void> {
    const { endpoints, clock } = this.services;
    const endpoint = endpoints.choose(course.excluded, clock.monotonic());
    if (endpoint === undefined) {
      await this.waitOrSpill(course);
      return;
    }
    endpoint.inFlight += 1;
    if (!(await this.claimOnce(course))) {
      endpoints.finish(endpoint);
      return;
    }
    // The claim took time, in which the endpoint may have left or the process been paused.
    if (!endpoint.isOpen(clock.monotonic()) || !this.isFeasible(course)) {
      endpoints.finish(endpoint);
      this.requeue(course);
      return;
    }
    const result = await this.sendTo(endpoint, course);
    this.judge(endpoint, course, result);
  }

  // No endpoint has room: another data centre may; otherwise the request waits for its turn.
  private async waitOrSpill(course: Course<Body, Answer>): Promise<void> {
    const { ticket, body } = course;
    const isUntouched = !course.isClaimed && !course.mayHaveRun && !course.hasForwarded;
    const mayForward = isUntouched && !ticket.isForwarded;
    const forwarded = mayForward ? this.services.peers.forward(ticket, body) : undefined;
    if (forwarded !== undefined) {
      course.hasForwarded = true;
      const result = await forwarded;
      if (result.outcome !== AttemptOutcome.notRun) {
        this.finish(course, result);
        return;
      }
    }
    if (!this.services.endpoints.isAnyOpen(this.services.clock.monotonic())) {
      this.finish(course, this.refusal(RefusalReason.noEndpoint, course.mayHaveRun));
      return;
    }
    course.excluded.clear();
    await delay(sweepIntervalMs);
    this.requeue(course);
  }

  private requeue(course: Course<Body, Answer>): void {
    if (course.isSettled) {
      return;
    }
    if (!this.isFeasible(course)) {
      this.giveUp(course);
      return;
    }
    this.enqueue(course);
  }

  private async claimOnce(course: Course<Body, Answer>): Promise<boolean> {
    const { ticket } = course;
    if (ticket.isIdempotent || ticket.key === undefined || course.isClaimed) {
      return true;
    }
    const claimed = await this.services.claims.claim(ticket);
    const handlers: Record<ClaimResult, () => boolean> = {
      granted: () => {
        course.isClaimed = true;
        return true;
      },
      taken: () => {
        this.finish(course, this.refusal(RefusalReason.alreadyClaimed, true));
        return false;
      },
      unavailable: () => {
        this.finish(course, this.refusal(RefusalReason.claimsUnavailable));
        return false;
      },
    };
    return handlers[claimed]();
  }

  private async sendTo(
    endpoint: Endpoint,
    course: Course<Body, Answer>,
  ): Promise<AttemptResult<Answer>> {
    const { clock, sender, endpoints } = this.services;
    const startedAt = clock.monotonic();
    const deadline = Math.min(course.ticket.deadline, startedAt + this.limits.timeoutMs);
    course.sends += 1;
    try {
      const result = await sender.send(endpoint, course.ticket, course.body, deadline);
      if (result.outcome === AttemptOutcome.answered) {
        this.rate.record(clock.monotonic() - startedAt);
      }
      return result;
    } finally {
      endpoints.finish(endpoint);
    }
  }

  private judge(
    endpoint: Endpoint,
    course: Course<Body, Answer>,
    result: AttemptResult<Answer>,
  ): void {
    const now = this.services.clock.monotonic();
    const { endpoints } = this.services;
    switch (result.outcome) {
      case AttemptOutcome.answered:
        endpoints.record(endpoint, !result.isFailure, now);
        this.finish(course, { outcome: result.outcome, answer: result.answer });
        return;
      case AttemptOutcome.notRun:
        if (result.isBusy) {
          endpoint.noteBusy(now);
        } else if (!result.isLeaving) {
          endpoints.record(endpoint, false, now);
        }
        if (result.isLeaving && endpoints.markLeaving(endpoint.id)) {
          this.leavingSeen.fire(endpoint.id);
        }
        this.retry(endpoint, course, result.isBusy || result.isLeaving);
        return;
      default:
        endpoints.record(endpoint, false, now);
        course.mayHaveRun = true;
        this.retry(endpoint, course, false);
    }
  }

  // A refusal for lack of slots cost the endpoint nothing, so it does not count as a retry.
  private retry(endpoint: Endpoint, course: Course<Body, Answer>, isFree: boolean): void {
    course.excluded.add(endpoint.id);
    const isAllowed = !course.mayHaveRun || course.ticket.isIdempotent;
    const isAffordable = isFree || (course.sends < maxSends && this.budget.withdraw());
    if (!isAllowed || !isAffordable || !this.isFeasible(course)) {
      this.giveUp(course);
      return;
    }
    this.retries += isFree ? 0 : 1;
    this.enqueue(course);
  }

  private isFeasible(course: Course<Body, Answer>): boolean {
    const now = this.services.clock.monotonic();
    return now + this.rate.meanMs <= course.ticket.deadline;
  }

  private giveUp(course: Course<Body, Answer>, cause?: RefusalReason): void {
    const isLate = !this.isFeasible(course);
    const reason = cause ?? (isLate ? RefusalReason.deadline : RefusalReason.failed);
    this.finish(course, this.refusal(reason, course.mayHaveRun));
  }

  private finish(course: Course<Body, Answer>, result: RouteResult<Answer>): void {
    if (course.isSettled) {
      return;
    }
    course.isSettled = true;
    this.courses.remove(course);
    if (course.isClaimed && result.outcome === AttemptOutcome.notRun) {
      // The key is free before the caller hears that the request did not run.
      this.services.claims.release(course.ticket).then(
        () => course.settle(result),
        () => course.settle(result),
      );
      return;
    }
    course.settle(result);
  }

  private scheduleSweep(): void {
    this.sweeper ??= setTimeout(() => {
      this.sweeper = undefined;
      this.sweep();
      if (this.courses.size > 0) {
        this.scheduleSweep();
      }
    }, sweepIntervalMs);
  }

  // A queued request that can no longer be answered in time gets its refusal now.
  private sweep(): void {
    this.refreshConcurrency();
    const now = this.services.clock.monotonic();
    const hopeless = new Set(
      this.fairQueue.hopeless(
        (ticket, waitMs) => now + waitMs / paceTolerance + this.rate.meanMs > ticket.deadline,
      ),
    );
    this.courses.all.forEach((course) => {
      if (!course.isRunning && hopeless.has(course.ticket)) {
        this.fairQueue.withdraw(course.ticket);
        this.giveUp(course, RefusalReason.overloaded);
      }
    });
  }

  private refusal(reason: RefusalReason, mayHaveRun = false): Refusal {
    const outcome = mayHaveRun ? AttemptOutcome.unknown : AttemptOutcome.notRun;
    return this.withJitter({ outcome, reason, retryAfterMs: retryAfterBaseMs });
  }

  private withJitter(refusal: Refusal): Refusal {
    const retryAfterMs = this.services.random.jitter(refusal.retryAfterMs, retryAfterSpread);
    return { ...refusal, retryAfterMs: Math.ceil(retryAfterMs) };
  }
}
