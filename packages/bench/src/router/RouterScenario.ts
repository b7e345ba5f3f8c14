import { Random } from '@apricothoist/common';

/** Size of the simulated deployment: that of the brief. */
export const instanceCount = 9;
export const endpointCount = 30;
export const slotsPerEndpoint = 8;
/** Mean time in milliseconds that a request runs. */
export const serviceMs = 100;

/** Requests a second that all slots together can run. */
export const capacityPerSecond = (endpointCount * slotsPerEndpoint * 1_000) / serviceMs;

/** A stream of requests of one account. */
export interface Stream {
  readonly account: string;
  readonly weight: number;
  readonly urgency: 'urgent' | 'normal' | 'batch';
  /** Share of the offered load. */
  readonly share: number;
  readonly deadlineMs: number;
}

/** A counter in a hurry, a steady tenant, a greedy one, and work that can wait. */
export const streams: readonly Stream[] = [
  { account: 'counter', weight: 4, urgency: 'urgent', share: 0.1, deadlineMs: 1_000 },
  { account: 'steady', weight: 4, urgency: 'normal', share: 0.25, deadlineMs: 2_000 },
  { account: 'greedy', weight: 1, urgency: 'normal', share: 0.55, deadlineMs: 2_000 },
  { account: 'overnight', weight: 1, urgency: 'batch', share: 0.1, deadlineMs: 5_000 },
];

/** One request of the list. Times in milliseconds. */
export interface Arrival {
  readonly at: number;
  readonly stream: Stream;
  readonly instance: number;
  readonly runMs: number;
}

// The first instance gets `skew` times as many requests as any other.
function pickInstance(random: Random, skew: number): number {
  return Math.max(0, random.below(instanceCount - 1 + skew) - skew + 1);
}

/** Requests with random arrivals at so many times the capacity. */
export function createArrivals(
  load: number,
  lengthMs: number,
  skew: number,
  seed: number,
): Arrival[] {
  const random = new Random(seed);
  const arrivals = streams.flatMap((stream) => {
    const gapMs = 1_000 / (capacityPerSecond * load * stream.share);
    const own: Arrival[] = [];
    for (let at = random.exponential(gapMs); at < lengthMs; at += random.exponential(gapMs)) {
      const runMs = serviceMs * (0.5 + random.fraction());
      own.push({ at, stream, instance: pickInstance(random, skew), runMs });
    }
    return own;
  });
  return arrivals.sort((left, right) => left.at - right.at);
}
