import type { Random } from '@apricothoist/common';
import type { Endpoint } from '@apricothoist/router';
import { EndpointTable } from '@apricothoist/router';

/** Strategies by which instances share the slots of the endpoints. */
export const SlotStrategy = {
  ownSlotsFirst: 'own slots, then two choices',
  staticShares: 'static shares',
  twoChoices: 'two choices with mesh load',
  randomEndpoint: 'random endpoint',
} as const;
export type SlotStrategy = (typeof SlotStrategy)[keyof typeof SlotStrategy];

/** Uses only the slots that the instance owns. */
class StaticShareTable extends EndpointTable {
  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const own = this.all.filter(
      (endpoint) =>
        !excluded.has(endpoint.id) &&
        endpoint.hasCapacity(now) &&
        endpoint.inFlight < this.ownedSlotCount(endpoint),
    );
    return own[0];
  }

  public override usableSlots(): number {
    return this.all.reduce((sum, endpoint) => sum + this.ownedSlotCount(endpoint), 0);
  }

  private ownedSlotCount(endpoint: Endpoint): number {
    return this.ownedSlotsOf(endpoint.id);
  }
}

/** Power of two choices: takes the less loaded of two random endpoints, and ignores slot ownership. */
class TwoChoicesTable extends EndpointTable {
  public constructor(
    instanceId: string,
    slots: number,
    private readonly randomSource: Random,
  ) {
    super(instanceId, slots, randomSource);
  }

  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const available = this.all.filter(
      (endpoint) =>
        !excluded.has(endpoint.id) && endpoint.hasCapacity(now) && endpoint.load(now) < 1,
    );
    if (available.length === 0) {
      return undefined;
    }
    const left = this.randomSource.pick(available);
    const right = this.randomSource.pick(available);
    return left.load(now) <= right.load(now) ? left : right;
  }
}

/** Takes a random endpoint that has free capacity by the count of this instance alone. */
class RandomChoiceTable extends EndpointTable {
  public constructor(
    instanceId: string,
    slots: number,
    private readonly randomSource: Random,
  ) {
    super(instanceId, slots, randomSource);
  }

  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const available = this.all.filter(
      (endpoint) => !excluded.has(endpoint.id) && endpoint.hasCapacity(now),
    );
    return available.length === 0 ? undefined : this.randomSource.pick(available);
  }
}

type EndpointTableConstructor = new (
  instanceId: string,
  slots: number,
  random: Random,
) => EndpointTable;

const tableClasses: Record<SlotStrategy, EndpointTableConstructor> = {
  [SlotStrategy.ownSlotsFirst]: EndpointTable,
  [SlotStrategy.staticShares]: StaticShareTable,
  [SlotStrategy.twoChoices]: TwoChoicesTable,
  [SlotStrategy.randomEndpoint]: RandomChoiceTable,
};

export function createEndpointTable(
  strategy: SlotStrategy,
  instanceId: string,
  slots: number,
  random: Random,
): EndpointTable {
  return new tableClasses[strategy](instanceId, slots, random);
}
