import { Emitter } from '@apricothoist/common';

import type { RequestForwarder } from '../HolderRequests.js';
import { ForwardOutcome } from '../HolderRequests.js';
import type { StoreOutlook } from '../StoreOutlook.js';
import { StoreReach } from '../StoreReachability.js';

/** Outlook that the test decides. */
export function fakeOutlook(
  isOutOfReach: () => boolean,
  onChange: StoreOutlook['onChange'] = new Emitter<boolean>().event,
): StoreOutlook {
  return {
    get reach() {
      return isOutOfReach() ? StoreReach.outOfReachHere : StoreReach.reachable;
    },
    get isOutOfReach() {
      return isOutOfReach();
    },
    onChange,
    settle: () => Promise.resolve(),
    mayEndBefore: () => false,
    retryAfterMs: () => 1_000,
  };
}

/** An instance that is not connected to the scheduling instance. */
export const noForwarder: RequestForwarder = {
  isAvailable: false,
  report: undefined,
  forward: () => Promise.resolve({ outcome: ForwardOutcome.notTaken, reason: 'not connected' }),
};
