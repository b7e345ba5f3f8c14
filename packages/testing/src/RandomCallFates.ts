import type { Random } from '@apricothoist/common';
import { StartOutcome } from '@apricothoist/dispatch';

import type { CallFate, VirtualCall } from './CallFate.js';
import { CallKind } from './CallFate.js';

/** Shares of the calls with each fault. */
export interface CallFaultRates {
  readonly dropped: number;
  readonly answerLost: number;
  readonly late: number;
  /** Of reports and stops; an unhealthy runner refuses starts by itself. */
  readonly refused: number;
}

/** Latency in milliseconds of one way of a call. */
const latencyMs = { min: 1, spread: 4 };
/** Milliseconds after which a late call is executed; from the platform's contract: seconds. */
const lateMs = { min: 2_000, spread: 10_000 };

/** Draws the fates of calls from a seeded random source. */
export class RandomCallFates {
  /** Whether calls are harmed. */
  public isActive = true;

  public constructor(
    private readonly random: Random,
    private readonly rates: CallFaultRates,
  ) {}

  public decide(call: VirtualCall): CallFate {
    const latency = latencyMs.min + this.random.below(latencyMs.spread);
    const late = lateMs.min + this.random.below(lateMs.spread);
    let share = this.isActive ? this.random.fraction() : 1;
    const { rates } = this;
    const refused = call.kind === CallKind.start ? 0 : rates.refused;
    const fates: readonly (readonly [rate: number, fate: CallFate])[] = [
      [rates.dropped, { kind: 'dropped' }],
      [rates.answerLost, { kind: 'answerLost', latencyMs: latency }],
      [rates.late, { kind: 'late', lateMs: late }],
      [refused, { kind: 'refused', outcome: StartOutcome.unhealthy, latencyMs: latency }],
    ];
    const drawn = fates.find(([rate]) => {
      share -= rate;
      return share < 0;
    });
    return drawn?.[1] ?? { kind: 'delivered', latencyMs: latency };
  }
}
