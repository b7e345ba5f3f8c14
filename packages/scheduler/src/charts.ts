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
  /** Every worker holds its part. */
  reserved: 'reserved',
  /** A worker did not hold its part in time. */
  missed: 'missed',
  finished: 'finished',
  failed: 'failed',
  /** A part stopped or its worker went silent. */
  lost: 'lost',
  reclaimed: 'reclaimed',
  cancelled: 'cancelled',
  /** No part can be running any more. */
  stopped: 'stopped',
  /** The time for a checkpoint is over. */
  expired: 'expired',
} as const;
export type AttemptEvent = (typeof AttemptEvent)[keyof typeof AttemptEvent];

/** Life of a job. */
export const jobChart = new StateChart<JobState, JobEvent>(jobSource);

/** Life of one attempt to run a job. */
export const attemptChart = new StateChart<AttemptState, AttemptEvent>(attemptSource);
