import { EndEvidence } from './EndEvidence.js';

/** Counts of observations about runs, for metrics; they outlive a leadership term. */
export class RunCounters {
  /** Runs held to have ended, by evidence. */
  public readonly ends: Record<EndEvidence, number> = {
    [EndEvidence.reported]: 0,
    [EndEvidence.refused]: 0,
    [EndEvidence.absent]: 0,
    [EndEvidence.departed]: 0,
    [EndEvidence.leaseExpired]: 0,
  };

  /** Reports of a run of a task of which another run is known to run. */
  public overlaps = 0;

  /** Runners that crashed, or are presumed to have, while tasks were there. */
  public crashes = 0;

  /** Jobs that ended because a task crashes its runners. */
  public crashingJobs = 0;

  /** Start commands with a call that got no answer. */
  public unsettledStarts = 0;

  /** Entries of the registry that differ from what is known of their runners, by revision. */
  public contradictoryEntries = 0;

  /** Calls of the advice service. */
  public adviceCalls = 0;

  /** Calls of the advice service without a usable answer. */
  public failedAdviceCalls = 0;

  /** Starts that a runner refused for their permit. */
  public refusedPermits = 0;

  /** Starts that were not sent because their permit would have lapsed on the way. */
  public lapsedPermits = 0;

  /** Revisions of stored records that could not be read. */
  public unreadableRecords = 0;

  /** Errors that nothing expected (J790), those that a loop has outlived included. */
  public unexpectedErrors = 0;
}
