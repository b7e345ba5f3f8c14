/** Keys of the records in the coordination store. */
const jobPrefix = 'jobs/';
const progressPrefix = 'progress/';
const cancelSuffix = '/cancel';

export const StoreKeys = {
  holder: 'holder',
  /** Learned state of the holder, for its successor; `experience` is the stored key. */
  learnedState: 'experience',
  /** Cores of the strongest instance, for the first election after a restart of all instances. */
  strongestCores: 'strongest',
  /** Record of the holder on a maintenance wave. */
  maintenance: (wave: string): string => `maintenance/${wave}`,
  jobPrefix,
  progressPrefix,
  job: (id: string): string => `${jobPrefix}${id}`,
  cancel: (id: string): string => `${jobPrefix}${id}${cancelSuffix}`,
  progress: (id: string): string => `${progressPrefix}${id}`,
} as const;

/** Value of a cancellation; that of earlier versions is empty. */
export const cancellationValue = '{}';

/** Parsed key below the job prefix. */
export interface JobKey {
  readonly id: string;
  readonly isCancellation: boolean;
}

export function parseJobKey(key: string): JobKey {
  const name = key.slice(jobPrefix.length);
  return name.endsWith(cancelSuffix)
    ? { id: name.slice(0, -cancelSuffix.length), isCancellation: true }
    : { id: name, isCancellation: false };
}
