import type { Random } from '@apricothoist/common';
import type { Endpoint } from '@apricothoist/router';
import { EndpointTable } from '@apricothoist/router';

/** Ways for instances to share the slots of endpoints. */
export const SlotWay = {
  product: 'own slots, then two choices',
  staticShares: 'static shares',
  twoChoices: 'two choices with mesh load',
  random: 'random endpoint',
} as const;
export type SlotWay = (typeof SlotWay)[keyof typeof SlotWay];

/** Uses only the slots that the instance owns. */
class StaticShares extends EndpointTable {
  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const own = this.all.filter(
      (endpoint) =>
        !excluded.has(endpoint.id) &&
        endpoint.hasCapacity(now) &&
        endpoint.inFlight < this.owned(endpoint),
    );
    return own[0];
  }

  public override usableSlots(): number {
    return this.all.reduce((sum, endpoint) => sum + this.owned(endpoint), 0);
  }

  private owned(endpoint: Endpoint): number {
    return this.ownedSlotsOf(endpoint.id);
  }
}

/** Prefers no slots: of two random endpoints the less loaded one. */
class TwoChoices extends EndpointTable {
  public constructor(
    instanceId: string,
    slots: number,
    private readonly source: Random,
  ) {
    super(instanceId, slots, source);
  }

  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const open = this.all.filter(
      (endpoint) =>
        !excluded.has(endpoint.id) && endpoint.hasCapacity(now) && endpoint.load(now) < 1,
    );
    if (open.length === 0) {
      return undefined;
    }
    const left = this.source.pick(open);
    const right = this.source.pick(open);
    return left.load(now) <= right.load(now) ? left : right;
  }
}

/** Any endpoint with room by the own count. */
class RandomEndpoint extends EndpointTable {
  public constructor(
    instanceId: string,
    slots: number,
    private readonly source: Random,
  ) {
    super(instanceId, slots, source);
  }

  public override choose(excluded: ReadonlySet<string>, now: number): Endpoint | undefined {
    const open = this.all.filter(
      (endpoint) => !excluded.has(endpoint.id) && endpoint.hasCapacity(now),
    );
    return open.length === 0 ? undefined : this.source.pick(open);
  }
}

type TableClass = new (instanceId: string, slots: number, random: Random) => EndpointTable;

const classes: Record<SlotWay, TableClass> = {
  [SlotWay.product]: EndpointTable,
  [SlotWay.staticShares]: StaticShares,
  [SlotWay.twoChoices]: TwoChoices,
  [SlotWay.random]: RandomEndpoint,
};

export function createTable(
  way: SlotWay,
  instanceId: string,
  slots: number,
  random: Random,
): EndpointTable {
  return new classes[way](instanceId, slots, random);
}
