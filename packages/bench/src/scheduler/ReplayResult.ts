/** Result of one job of a workload. Times are virtual milliseconds from the start of the workload. */
export interface JobOutcome {
  readonly id: string;
  readonly urgency: 'urgent' | 'normal' | 'batch';
  readonly accelerators: number;
  readonly submittedAt: number;
  readonly firstStartedAt: number;
  readonly finishedAt: number;
}

/** Result of a workload under one scheduling policy. */
export interface ReplayResult {
  readonly policy: string;
  readonly outcomes: readonly JobOutcome[];
  /** Jobs that had not finished when the replay ended. */
  readonly unfinished: number;
  /** Mean fraction of the free accelerators that no queued or guaranteed shape can use. */
  readonly fragmentation: number;
  /** The same for the largest guaranteed shape only. */
  readonly largeFragmentation: number;
  /** Work in accelerator-milliseconds that was run more than once. */
  readonly lostWork: number;
  /** Times that a job was refused its guarantee although all workers were usable. */
  readonly refusedGuarantees: number;
  readonly decisions: number;
  /** Total time in milliseconds that the scheduling decisions took, on the monotonic clock. */
  readonly decisionMs: number;
}
