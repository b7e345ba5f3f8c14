/** How one job of a list fared. Times in milliseconds. */
export interface JobOutcome {
  readonly id: string;
  readonly urgency: 'urgent' | 'normal' | 'batch';
  readonly accelerators: number;
  readonly submittedAt: number;
  readonly firstStartedAt: number;
  readonly finishedAt: number;
}

/** What a policy made of a job list. */
export interface ReplayResult {
  readonly policy: string;
  readonly outcomes: readonly JobOutcome[];
  readonly unfinished: number;
  /** Mean share of free accelerators that no queued or guaranteed shape can use. */
  readonly fragmentation: number;
  /** The same for the largest guaranteed shape alone. */
  readonly largeFragmentation: number;
  /** Work in accelerator-milliseconds that was done twice. */
  readonly lostWork: number;
  /** Guaranteed jobs that were refused their guarantee while all workers were usable. */
  readonly refusedGuarantees: number;
  readonly decisions: number;
  /** Processor time of all decisions in milliseconds. */
  readonly decisionMs: number;
}
