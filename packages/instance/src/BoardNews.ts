import type { JobState, QueueOutlook } from '@apricothoist/dispatch';

import type { BoardUpdate } from './JobBoard.js';

/** News of jobs and queues; the instance adds what it knows of others. */
export type JobNews = Omit<BoardUpdate, 'strongestCores'>;

/**
 * Milliseconds between two updates with changed states: every one costs a frame for each follower,
 * and states have to be visible within three seconds.
 */
const tellEveryMs = 100;
/** Milliseconds between updates without a change; a board counts as old after three of them. */
const silentMs = 500;
/** Milliseconds between two outlooks: the users allow counts of waiting jobs to be two seconds old. */
const outlookEveryMs = 300;
/** Milliseconds to which a backlog is rounded, so that an outlook that hardly changed is not sent. */
const backlogStepMs = 100;

/** Collects what followers have to hear, and decides when they hear it. */
export class BoardNews {
  private states = new Map<string, JobState>();

  private forgotten: string[] = [];

  private readonly toldOutlooks = new Map<string, string>();

  private toldAt = -Infinity;

  private outlookAt = -Infinity;

  public noteStates(states: Iterable<readonly [id: string, state: JobState]>): void {
    [...states].forEach(([id, state]) => this.states.set(id, state));
  }

  public noteForgotten(ids: readonly string[]): void {
    this.forgotten.push(...ids);
  }

  /**
   * The next update, if one is due.
   *
   * @param describe gives the outlook of every queue
   */
  public take(now: number, describe: () => ReadonlyMap<string, QueueOutlook>): JobNews | undefined {
    const hasChanges = this.states.size > 0 || this.forgotten.length > 0;
    if (now - this.toldAt < (hasChanges ? tellEveryMs : silentMs)) {
      return undefined;
    }
    const queues = now - this.outlookAt < outlookEveryMs ? [] : this.changedOutlooks(describe());
    if (now - this.outlookAt >= outlookEveryMs) {
      this.outlookAt = now;
    }
    const update = {
      isWhole: false,
      states: [...this.states],
      forgotten: this.forgotten,
      queues,
    };
    this.states = new Map();
    this.forgotten = [];
    this.toldAt = now;
    return update;
  }

  private changedOutlooks(
    outlooks: ReadonlyMap<string, QueueOutlook>,
  ): (readonly [string, QueueOutlook])[] {
    const changed: (readonly [string, QueueOutlook])[] = [];
    outlooks.forEach((exact, queue) => {
      const backlogMs = Math.round(exact.backlogMs / backlogStepMs) * backlogStepMs;
      const outlook = { ...exact, backlogMs, durationMs: Math.round(exact.durationMs) };
      const text = JSON.stringify(outlook);
      if (this.toldOutlooks.get(queue) !== text) {
        this.toldOutlooks.set(queue, text);
        changed.push([queue, outlook]);
      }
    });
    return changed;
  }
}
