import { messageOf } from '@apricothoist/common';
import type { Plan } from '@apricothoist/scheduler';
import type { EventLog } from '@apricothoist/telemetry';

import type { CallerListener } from './CallerListener.js';
import type { EntryCore } from './EntryCore.js';
import { EventKinds } from './events.js';
import type { OperatorListener } from './OperatorListener.js';
import { PlanErrorKind } from './PlanRepository.js';
import type { PlanError } from './PlanRepository.js';

/** Components of an instance whose events are logged. */
export interface EventSources {
  readonly core: EntryCore;
  readonly callerListener: CallerListener;
  readonly operatorListener: OperatorListener;
}

/** Writes the events of an instance's components to its log. */
export class InstanceEventLogger {
  private isReady = false;

  private endedJobs = new Set<string>();

  public constructor(private readonly log: EventLog) {}

  public subscribe(sources: EventSources): void {
    const { core, callerListener, operatorListener } = sources;
    const { configurations, runner, mesh, plan, store } = core;
    store.onStateChange((state) => this.log.emit(EventKinds.storeStateChanged, { state }));
    core.onError((error) => this.logUnexpectedError(error));
    core.onListUnreadable(({ message }) => {
      this.log.emit(EventKinds.instanceListUnreadable, { message });
    });
    core.onEndpointLeaving(({ endpointId, source }) => {
      this.log.emit(EventKinds.endpointLeaving, { endpoint: endpointId, source });
    });
    configurations.onAdopt(({ revision, digest }) => {
      this.log.emit(EventKinds.configurationAdopted, { revision, digest });
      this.logReady();
    });
    configurations.onReject((message) => {
      this.log.emit(EventKinds.configurationRejected, { message });
    });
    runner.onLeadership((isLeading) => {
      this.log.emit(isLeading ? EventKinds.leadershipGained : EventKinds.leadershipLost);
    });
    runner.onShortfall((units) => {
      const accounts = [...new Set(units.map((unit) => unit.account))].join(', ');
      const kind = units.length > 0 ? EventKinds.guaranteeShortfall : EventKinds.guaranteesMet;
      this.log.emit(kind, { units: units.length, accounts });
    });
    runner.onOutageRenewal(() => this.log.emit(EventKinds.renewingInOutage));
    runner.onWriteFailed((error) => this.logPlanError(error));
    mesh.onMembersChanged(() => {
      this.log.emit(EventKinds.membersChanged, { alive: mesh.membership.aliveMembers().length });
    });
    mesh.onRejected((reason) => this.log.emit(EventKinds.meshRejected, { reason }));
    callerListener.onRejected((from) => this.log.emit(EventKinds.callerRejected, { from }));
    operatorListener.onRejected((from) => this.log.emit(EventKinds.operatorRejected, { from }));
    callerListener.onRequestEnd(({ service, account, outcome, reason }) => {
      if (reason !== undefined) {
        this.log.emit(EventKinds.requestRefused, { service, account, outcome, reason });
      }
    });
    plan.onAdopt((adopted) => this.logPlan(adopted));
  }

  private logUnexpectedError(error: unknown): void {
    const stack = error instanceof Error ? error.stack : undefined;
    this.log.emit(EventKinds.internalError, { message: messageOf(error), stack });
  }

  private logReady(): void {
    if (!this.isReady) {
      this.isReady = true;
      this.log.emit(EventKinds.ready);
    }
  }

  private logPlanError(error: PlanError): void {
    const isUnknown = error.kind === PlanErrorKind.unknown;
    const kind = isUnknown ? EventKinds.planUnknown : EventKinds.planConflict;
    this.log.emit(kind, { message: error.message });
  }

  private logPlan(plan: Plan): void {
    this.log.emit(EventKinds.planAdopted, {
      revision: plan.revision,
      attempts: plan.attempts.length,
    });
    const ended = plan.jobs.filter((job) => job.finishedAt !== undefined);
    ended
      .filter((job) => !this.endedJobs.has(job.id))
      .forEach(({ id, name, state, reason }) => {
        this.log.emit(EventKinds.jobEnded, { job: id, name, state, reason });
      });
    this.endedJobs = new Set(ended.map((job) => job.id));
  }
}
