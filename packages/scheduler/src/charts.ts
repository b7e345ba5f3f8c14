import { StateChart } from '@apricothoist/common';

import attemptSource from './attempt.chart.json' with { type: 'json' };
import jobSource from './job.chart.json' with { type: 'json' };

export const JobState = {
  queued: 'queued',
  active: 'active',
  cancelling: 'cancelling',
  succeeded: 'succeeded',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

export const JobEvent = {
  place: 'place',
  requeue: 'requeue',
  succeed: 'succeed',
  fail: 'fail',
  cancel: 'cancel',
  /** The job can never run. */
  refuse: 'refuse',
} as const;
export type JobEvent = (typeof JobEvent)[keyof typeof JobEvent];

export const AttemptState = {
  placing: 'placing',
  running: 'running',
  checkpointing: 'checkpointing',
  releasing: 'releasing',
  over: 'over',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

export const AttemptEvent = {
  /** Every worker has reserved its tasks. */
  reserved: 'reserved',
  /** A worker did not reserve its tasks in time. */
  missed: 'missed',
  finished: 'finished',
  failed: 'failed',
  /** A task stopped unexpectedly, or its worker no longer reports. */
  lost: 'lost',
  reclaimed: 'reclaimed',
  cancelled: 'cancelled',
  /** No task of the attempt can still be running. */
  stopped: 'stopped',
  /** The time limit for the checkpoint has passed. */
  expired: 'expired',
} as const;
export type AttemptEvent = (typeof AttemptEvent)[keyof typeof AttemptEvent];

/** State chart of a job. */
export const jobChart = new StateChart<JobState, JobEvent>(jobSource);

/** State chart of one attempt to run a job. */
export const attemptChart = new StateChart<AttemptState, AttemptEvent>(attemptSource);
