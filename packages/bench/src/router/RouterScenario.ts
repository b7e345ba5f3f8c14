import { Random } from '@apricothoist/common';

/** Size of the simulated deployment, as the service requirements give it. */
export const instanceCount = 9;
export const endpointCount = 30;
export const slotsPerEndpoint = 8;
/** Mean time in milliseconds that a request runs on an endpoint. */
export const meanServiceMs = 100;

/** Requests per second that all slots together can run. */
export const capacityPerSecond = (endpointCount * slotsPerEndpoint * 1_000) / meanServiceMs;

/** The request traffic of one account. */
export interface RequestStream {
  readonly account: string;
  readonly weight: number;
  readonly urgency: 'urgent' | 'normal' | 'batch';
  /** Fraction of the offered load. */
  readonly share: number;
  readonly deadlineMs: number;
}

/** Urgent interactive requests, a steady account, one that exceeds its share, and deferrable work. */
export const streams: readonly RequestStream[] = [
  { account: 'counter', weight: 4, urgency: 'urgent', share: 0.1, deadlineMs: 1_000 },
  { account: 'steady', weight: 4, urgency: 'normal', share: 0.25, deadlineMs: 2_000 },
  { account: 'greedy', weight: 1, urgency: 'normal', share: 0.55, deadlineMs: 2_000 },
  { account: 'overnight', weight: 1, urgency: 'batch', share: 0.1, deadlineMs: 5_000 },
];

/** A generated request. Times in milliseconds from the start of the run. */
export interface Arrival {
  readonly at: number;
  readonly stream: RequestStream;
  readonly instance: number;
  readonly runMs: number;
}

// The first instance receives `skew` times as many requests as any other.
function pickInstance(random: Random, skew: number): number {
  return Math.max(0, random.below(instanceCount - 1 + skew) - skew + 1);
}

/**
 * Generates requests with exponentially distributed interarrival times.
 *
 * @param load offered load as a multiple of the capacity of all slots
 */
export function createArrivals(
  load: number,
  durationMs: number,
  skew: number,
  seed: number,
): Arrival[] {
  const random = new Random(seed);
  const arrivals = streams.flatMap((stream) => {
    const meanInterarrivalMs = 1_000 / (capacityPerSecond * load * stream.share);
    const streamArrivals: Arrival[] = [];
    for (
      let at = random.exponential(meanInterarrivalMs);
      at < durationMs;
      at += random.exponential(meanInterarrivalMs)
    ) {
      const runMs = meanServiceMs * (0.5 + random.fraction());
      streamArrivals.push({ at, stream, instance: pickInstance(random, skew), runMs });
    }
    return streamArrivals;
  });
  return arrivals.sort((left, right) => left.at - right.at);
}
