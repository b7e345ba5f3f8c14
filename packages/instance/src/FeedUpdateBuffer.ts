import type { JobState, QueueStatus } from '@apricothoist/dispatch';

import type { FeedUpdate } from './JobStatusCache.js';

/** Changes of jobs and queues; the instance adds what it knows of itself and others. */
export type JobUpdate = Omit<FeedUpdate, 'strongestCores' | 'service'>;

/**
 * Milliseconds between updates with changed states: each one costs a frame per follower, and states
 * must be visible within three seconds.
 */
const sendIntervalMs = 100;
/** Milliseconds between updates without a change; a status cache is stale after three of them. */
const heartbeatIntervalMs = 500;
/** Milliseconds between queue statuses; counts of waiting jobs may be up to two seconds old. */
const queueStatusIntervalMs = 300;
/** Milliseconds to which a backlog is rounded, so that insignificant changes are not sent. */
const backlogRoundingMs = 100;

/** Buffers changes for followers and decides when an update is due. */
export class FeedUpdateBuffer {
  private states = new Map<string, JobState>();

  private deletedIds: string[] = [];

  private largestRunner = 0;

  private readonly backlogs = new Map<number, number>();

  private queueStatuses: (readonly [string, QueueStatus])[] = [];

  private readonly sentQueueStatuses = new Map<string, string>();

  private sentAt = -Infinity;

  private queueStatusAt = -Infinity;

  public recordStates(states: Iterable<readonly [id: string, state: JobState]>): void {
    [...states].forEach(([id, state]) => this.states.set(id, state));
  }

  public recordDeleted(ids: readonly string[]): void {
    this.deletedIds.push(...ids);
  }

  /**
   * Returns the next update if one is due.
   *
   * @param now monotonic milliseconds
   * @param describe returns the status of every queue
   */
  public takeDue(
    now: number,
    describe: () => ReadonlyMap<string, QueueStatus>,
  ): JobUpdate | undefined {
    const hasChanges = this.states.size > 0 || this.deletedIds.length > 0;
    if (now - this.sentAt < (hasChanges ? sendIntervalMs : heartbeatIntervalMs)) {
      return undefined;
    }
    if (now - this.queueStatusAt >= queueStatusIntervalMs) {
      this.queueStatusAt = now;
      this.recordStatuses(describe());
    }
    const update = {
      isWhole: false,
      states: [...this.states],
      forgotten: this.deletedIds,
      queues: this.queueStatuses,
      backlogs: [...this.backlogs],
      largestRunner: this.largestRunner,
    };
    this.states = new Map();
    this.deletedIds = [];
    this.queueStatuses = [];
    this.sentAt = now;
    return update;
  }

  // A backlog changes with every job, for all queues of a priority: it is sent once for all of them.
  private recordStatuses(statuses: ReadonlyMap<string, QueueStatus>): void {
    statuses.forEach((exact, queue) => {
      this.largestRunner = exact.largestRunner;
      const backlogMs = Math.round(exact.backlogMs / backlogRoundingMs) * backlogRoundingMs;
      this.backlogs.set(exact.priority ?? 0, backlogMs);
      if (isIdle(exact) && !this.sentQueueStatuses.has(queue)) {
        return;
      }
      const queueStatus = { ...exact, backlogMs, durationMs: Math.round(exact.durationMs) };
      const text = JSON.stringify({ ...queueStatus, backlogMs: 0, largestRunner: 0 });
      if (this.sentQueueStatuses.get(queue) !== text) {
        this.sentQueueStatuses.set(queue, text);
        this.queueStatuses.push([queue, queueStatus]);
      }
      if (isIdle(exact)) {
        this.sentQueueStatuses.delete(queue);
      }
    });
  }
}

/** Whether a queue has no waiting job and no known duration, as long as it has never been used. */
export function isIdle({ pending, durationMs }: QueueStatus): boolean {
  return pending === 0 && durationMs === 0;
}
