import type { Clock, Random, Event } from '@apricothoist/common';
import { delay, Emitter } from '@apricothoist/common';
import PQueue from 'p-queue';

import { admit } from './Admission.js';
import type { PendingRequest } from './PendingRequest.js';
import { createPendingRequest } from './PendingRequest.js';
import type { Endpoint } from './Endpoint.js';
import type { EndpointTable } from './EndpointTable.js';
import type { QueuedRequestOptions, WeightOf } from './FairQueue.js';
import { FairQueue } from './FairQueue.js';
import { PendingRequests } from './PendingRequests.js';
import { RetryBudget } from './RetryBudget.js';
import type {
  EndpointSender,
  PeerForwarder,
  RequestClaims,
  ClaimResult,
} from './RouterCollaborators.js';
import { ServiceTimeEstimator } from './ServiceTimeEstimator.js';
import type {
  AttemptResult,
  Refusal,
  RouteResult,
  RequestDescriptor,
} from './RequestDescriptor.js';
import { AttemptOutcome, RefusalReason } from './RequestDescriptor.js';

/** Per-service time-out and retry settings. */
export interface ServiceLimits {
  /** Time-out of a single attempt, in milliseconds. */
  readonly timeoutMs: number;
  /** Retries allowed per hundred first attempts. */
  readonly retryPercent: number;
}

/** Collaborators that the router of one service depends on. */
export interface RouterDependencies<Body, Answer> {
  readonly clock: Clock;
  readonly random: Random;
  readonly endpoints: EndpointTable;
  readonly sender: EndpointSender<Body, Answer>;
  readonly peers: PeerForwarder<Body, Answer>;
  readonly claims: RequestClaims;
  readonly weightOf: WeightOf;
  /** Limit on open requests of an account at this instance; undefined for unknown accounts. */
  readonly limitOf: (account: string) => number | undefined;
}

/** Interval between sweeps that refuse queued requests which can no longer meet their deadline. */
const sweepIntervalMs = 20;
/**
 * Tolerance for the error of the observed wait: a queued request is refused only if it would miss
 * its deadline even after the estimated wait divided by this factor.
 */
const waitEstimateTolerance = 1.5;
/** Sends after which a request is not retried, unless the endpoint was busy or leaving. */
const maxSends = 4;
const retryAfterBaseMs = 200;
const retryAfterJitter = 0.5;

/** Routes the requests of one service: admission, queueing, endpoint selection and retries. */
export class RequestRouter<Body, Answer> implements AsyncDisposable {
  private readonly fairQueue: FairQueue;

  private readonly queue: PQueue<FairQueue, QueuedRequestOptions>;

  private readonly pendingRequests = new PendingRequests<Body, Answer>();

  private readonly serviceTime = new ServiceTimeEstimator();

  private readonly retryBudget: RetryBudget;

  private readonly endpointLeaving = new Emitter<string>();

  /** Fires with the identifier of an endpoint that announced in a response that it is leaving. */
  public readonly onEndpointLeaving: Event<string> = this.endpointLeaving.event;

  private sweepTimer: NodeJS.Timeout | undefined;

  private isStopping = false;

  public retryCount = 0;

  public constructor(
    private readonly dependencies: RouterDependencies<Body, Answer>,
    private readonly limits: ServiceLimits,
  ) {
    this.fairQueue = new FairQueue(dependencies.weightOf, dependencies.clock);
    const { fairQueue } = this;
    // p-queue instantiates `queueClass` itself. A constructor that returns an object makes `new`
    // yield that object, so p-queue uses the existing queue.
    function QueueClass(): FairQueue {
      return fairQueue;
    }
    this.queue = new PQueue<FairQueue, QueuedRequestOptions>({
      concurrency: 1,
      queueClass: QueueClass as unknown as new () => FairQueue,
    });
    this.retryBudget = new RetryBudget(limits.retryPercent);
  }

  /** Requests queued or running at this instance. */
  public get openRequestCount(): number {
    return this.pendingRequests.size;
  }

  public get queuedRequestCount(): number {
    return this.fairQueue.size;
  }

  /** Number of slots that this instance could use for requests forwarded by peers. */
  public get spareSlots(): number {
    const usable = this.dependencies.endpoints.usableSlots(this.dependencies.clock.monotonic());
    return this.isStopping ? 0 : Math.max(0, usable - this.queue.pending - this.fairQueue.size);
  }

  /** Routes one request. The promise resolves with the final result once the outcome is known. */
  public route(descriptor: RequestDescriptor, body: Body): Promise<RouteResult<Answer>> {
    const limit = this.dependencies.limitOf(descriptor.account);
    if (limit === undefined) {
      return Promise.resolve(this.refusal(RefusalReason.unknownAccount));
    }
    if (this.isStopping) {
      return Promise.resolve(this.refusal(RefusalReason.stopping));
    }
    this.refreshConcurrency();
    const refused = this.admit(descriptor, limit);
    if (refused !== undefined) {
      return this.forwardOrRefuse(descriptor, body, refused);
    }
    this.retryBudget.deposit();
    return this.accept(descriptor, body);
  }

  /** Recomputes the concurrency after a change of endpoints or instances. */
  public refreshConcurrency(): void {
    const usable = this.dependencies.endpoints.usableSlots(this.dependencies.clock.monotonic());
    this.queue.concurrency = Math.max(1, usable);
  }

  /** Stops accepting requests and resolves once all open requests have been settled. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    while (this.pendingRequests.size > 0) {
      await delay(sweepIntervalMs);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
    clearTimeout(this.sweepTimer);
    this.endpointLeaving[Symbol.dispose]();
  }

  private admit(descriptor: RequestDescriptor, accountLimit: number): Refusal | undefined {
    const state = {
      queue: this.fairQueue,
      concurrency: this.queue.concurrency,
      serviceMs: this.serviceTime.meanMs,
      accountOpenCount: this.pendingRequests.countOf(descriptor.account),
      accountLimit,
      weightOf: this.dependencies.weightOf,
    };
    return admit(descriptor, state, this.dependencies.clock.monotonic());
  }

  private forwardOrRefuse(
    descriptor: RequestDescriptor,
    body: Body,
    refused: Refusal,
  ): Promise<RouteResult<Answer>> {
    const isForwardable = refused.reason === RefusalReason.overloaded && !descriptor.isForwarded;
    const forwarded = isForwardable ? this.dependencies.peers.forward(descriptor, body) : undefined;
    return forwarded ?? Promise.resolve(this.withJitter(refused));
  }

  private accept(descriptor: RequestDescriptor, body: Body): Promise<RouteResult<Answer>> {
    return new Promise((resolve) => {
      const request = createPendingRequest(descriptor, body, resolve);
      this.pendingRequests.add(request);
      this.enqueue(request);
      this.scheduleSweep();
    });
  }

  private enqueue(request: PendingRequest<Body, Answer>): void {
    const options = { descriptor: request.descriptor } as QueuedRequestOptions;
    this.queue
      .add(() => this.run(request), options)
      .catch(() => this.finish(request, this.refusal(RefusalReason.failed, request.mayHaveRun)));
  }

  private async run(request: PendingRequest<Body, Answer>): Promise<void> {
    if (request.isSettled) {
      return;
    }
    request.isRunning = true;
    try {
      await this.attempt(request);
    } finally {
      request.isRunning = false;
      this.refreshConcurrency();
    }
  }

  private async attempt(request: PendingRequest<Body, Answer>): Promise<void> {
    const { endpoints, clock } = this.dependencies;
    const endpoint = endpoints.choose(request.excluded, clock.monotonic());
    if (endpoint === undefined) {
      await this.forwardOrWait(request);
      return;
    }
    endpoint.inFlight += 1;
    if (!(await this.ensureClaimed(request))) {
      endpoints.releaseSlot(endpoint);
      return;
    }
    // Claiming is asynchronous: meanwhile the endpoint may have left, or the process may have been
    // paused past the deadline.
    if (!endpoint.isOpen(clock.monotonic()) || !this.canMeetDeadline(request)) {
      endpoints.releaseSlot(endpoint);
      this.requeue(request);
      return;
    }
    const result = await this.sendTo(endpoint, request);
    this.handleResult(endpoint, request, result);
  }

  // No endpoint has a free slot. Forwards to another data centre if one has capacity. Otherwise
  // puts the request back into the queue, or refuses it if no endpoint accepts requests at all.
  private async forwardOrWait(request: PendingRequest<Body, Answer>): Promise<void> {
    const { descriptor, body } = request;
    const isUnstarted = !request.isClaimed && !request.mayHaveRun && !request.hasTriedForwarding;
    const mayForward = isUnstarted && !descriptor.isForwarded;
    const forwarded = mayForward ? this.dependencies.peers.forward(descriptor, body) : undefined;
    if (forwarded !== undefined) {
      request.hasTriedForwarding = true;
      const result = await forwarded;
      if (result.outcome !== AttemptOutcome.notRun) {
        this.finish(request, result);
        return;
      }
    }
    if (!this.dependencies.endpoints.isAnyOpen(this.dependencies.clock.monotonic())) {
      this.finish(request, this.refusal(RefusalReason.noEndpoint, request.mayHaveRun));
      return;
    }
    request.excluded.clear();
    await delay(sweepIntervalMs);
    this.requeue(request);
  }

  private requeue(request: PendingRequest<Body, Answer>): void {
    if (request.isSettled) {
      return;
    }
    if (!this.canMeetDeadline(request)) {
      this.refuse(request);
      return;
    }
    this.enqueue(request);
  }

  private async ensureClaimed(request: PendingRequest<Body, Answer>): Promise<boolean> {
    const { descriptor } = request;
    if (descriptor.isIdempotent || descriptor.key === undefined || request.isClaimed) {
      return true;
    }
    const claimed = await this.dependencies.claims.claim(descriptor);
    const handlers: Record<ClaimResult, () => boolean> = {
      granted: () => {
        request.isClaimed = true;
        return true;
      },
      taken: () => {
        this.finish(request, this.refusal(RefusalReason.alreadyClaimed, true));
        return false;
      },
      unavailable: () => {
        this.finish(request, this.refusal(RefusalReason.claimsUnavailable));
        return false;
      },
    };
    return handlers[claimed]();
  }

  private async sendTo(
    endpoint: Endpoint,
    request: PendingRequest<Body, Answer>,
  ): Promise<AttemptResult<Answer>> {
    const { clock, sender, endpoints } = this.dependencies;
    const startedAt = clock.monotonic();
    const deadline = Math.min(request.descriptor.deadline, startedAt + this.limits.timeoutMs);
    request.sendCount += 1;
    try {
      const result = await sender.send(endpoint, request.descriptor, request.body, deadline);
      if (result.outcome === AttemptOutcome.answered) {
        this.serviceTime.record(clock.monotonic() - startedAt);
      }
      return result;
    } finally {
      endpoints.releaseSlot(endpoint);
    }
  }

  private handleResult(
    endpoint: Endpoint,
    request: PendingRequest<Body, Answer>,
    result: AttemptResult<Answer>,
  ): void {
    const now = this.dependencies.clock.monotonic();
    const { endpoints } = this.dependencies;
    switch (result.outcome) {
      case AttemptOutcome.answered:
        endpoints.recordOutcome(endpoint, !result.isFailure, now);
        this.finish(request, { outcome: result.outcome, answer: result.answer });
        return;
      case AttemptOutcome.notRun:
        if (result.isBusy) {
          endpoint.markBusy(now);
        } else if (!result.isLeaving) {
          endpoints.recordOutcome(endpoint, false, now);
        }
        if (result.isLeaving && endpoints.markLeaving(endpoint.id)) {
          this.endpointLeaving.fire(endpoint.id);
        }
        this.retry(endpoint, request, result.isBusy || result.isLeaving);
        return;
      default:
        endpoints.recordOutcome(endpoint, false, now);
        request.mayHaveRun = true;
        this.retry(endpoint, request, false);
    }
  }

  // An endpoint spends no work on a request that it refuses because it is busy or leaving, so the
  // next attempt is not charged to the retry budget.
  private retry(
    endpoint: Endpoint,
    request: PendingRequest<Body, Answer>,
    isBudgetExempt: boolean,
  ): void {
    request.excluded.add(endpoint.id);
    const isAllowed = !request.mayHaveRun || request.descriptor.isIdempotent;
    const isWithinRetryLimits =
      isBudgetExempt || (request.sendCount < maxSends && this.retryBudget.withdraw());
    if (!isAllowed || !isWithinRetryLimits || !this.canMeetDeadline(request)) {
      this.refuse(request);
      return;
    }
    this.retryCount += isBudgetExempt ? 0 : 1;
    this.enqueue(request);
  }

  private canMeetDeadline(request: PendingRequest<Body, Answer>): boolean {
    const now = this.dependencies.clock.monotonic();
    return now + this.serviceTime.meanMs <= request.descriptor.deadline;
  }

  private refuse(request: PendingRequest<Body, Answer>, cause?: RefusalReason): void {
    const isLate = !this.canMeetDeadline(request);
    const reason = cause ?? (isLate ? RefusalReason.deadline : RefusalReason.failed);
    this.finish(request, this.refusal(reason, request.mayHaveRun));
  }

  private finish(request: PendingRequest<Body, Answer>, result: RouteResult<Answer>): void {
    if (request.isSettled) {
      return;
    }
    request.isSettled = true;
    this.pendingRequests.remove(request);
    if (request.isClaimed && result.outcome === AttemptOutcome.notRun) {
      // Release the key before the caller learns that the request did not run, so that a repeat
      // under the same key does not meet the old claim.
      this.dependencies.claims.release(request.descriptor).then(
        () => request.settle(result),
        () => request.settle(result),
      );
      return;
    }
    request.settle(result);
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      this.sweep();
      if (this.pendingRequests.size > 0) {
        this.scheduleSweep();
      }
    }, sweepIntervalMs);
  }

  // Refuses queued requests that can no longer meet their deadline, without waiting for it to pass.
  private sweep(): void {
    this.refreshConcurrency();
    const now = this.dependencies.clock.monotonic();
    const lateRequests = new Set(
      this.fairQueue.findLate(
        (descriptor, waitMs) =>
          now + waitMs / waitEstimateTolerance + this.serviceTime.meanMs > descriptor.deadline,
      ),
    );
    this.pendingRequests.all.forEach((request) => {
      if (!request.isRunning && lateRequests.has(request.descriptor)) {
        this.fairQueue.removeRequest(request.descriptor);
        this.refuse(request, RefusalReason.overloaded);
      }
    });
  }

  private refusal(reason: RefusalReason, mayHaveRun = false): Refusal {
    const outcome = mayHaveRun ? AttemptOutcome.unknown : AttemptOutcome.notRun;
    return this.withJitter({ outcome, reason, retryAfterMs: retryAfterBaseMs });
  }

  private withJitter(refusal: Refusal): Refusal {
    const retryAfterMs = this.dependencies.random.jitter(refusal.retryAfterMs, retryAfterJitter);
    return { ...refusal, retryAfterMs: Math.ceil(retryAfterMs) };
  }
}
