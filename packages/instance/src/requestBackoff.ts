import type { Clock } from '@apricothoist/common';
import { delay } from '@apricothoist/common';

import { StoreTiming } from './StoreTiming.js';

/** First and longest back-off in milliseconds between store calls for one request; it doubles. */
const firstBackoffMs = 20;
const maxBackoffMs = 300;

/** Exponential back-off that ends at the deadline at the latest. */
export async function backOff(clock: Clock, call: number, deadline: number): Promise<void> {
  const leftMs = Math.max(0, deadline - clock.monotonic());
  await delay(Math.min(firstBackoffMs * 2 ** call, maxBackoffMs, leftMs));
}

/** Deadline of one store call of a request, in monotonic milliseconds. */
export function callDeadline(clock: Clock, deadline: number): number {
  return Math.min(deadline, clock.monotonic() + StoreTiming.callTimeoutMs);
}
