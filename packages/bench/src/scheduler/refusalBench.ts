import { Random } from '@apricothoist/common';
import { Adjacency } from '@apricothoist/config';
import type { GuaranteeUnit, Shape } from '@apricothoist/scheduler';
import { Capacity } from '@apricothoist/scheduler';
import { canPlaceTogether } from '@apricothoist/testing';

import { formatTable } from '../formatTable.js';
import { witnessWays } from './witnessWays.js';

const stateCount = 4_000;
const seed = 21;
const rackCount = 3;
const workersPerRack = 3;
const acceleratorsPerWorker = 8;
const maxUnits = 5;

/** How often one way refused what the oracle allows. */
export interface RefusalRow {
  readonly way: string;
  readonly allowed: number;
  readonly refused: number;
  readonly share: number;
  /** Positive answers that the oracle denies; must be none. */
  readonly wrong: number;
}

/** Compares the ways to check guarantees with an exhaustive oracle on small random states. */
export function measureRefusals(): { readonly rows: RefusalRow[]; readonly text: string } {
  const random = new Random(seed);
  const counts = witnessWays.map((way) => ({ way, allowed: 0, refused: 0, wrong: 0 }));
  for (let state = 0; state < stateCount; state += 1) {
    const { whole, free, units } = createState(random);
    const racks = free.racks.map((workers) => workers.map((worker) => free.freeOf(worker)));
    const gangs = units.map(({ shape }) => ({
      tasks: shape.workers,
      acceleratorsPerTask: shape.acceleratorsPerWorker,
      isAdjacent: shape.adjacency === Adjacency.rack,
    }));
    const isPossible = canPlaceTogether(racks, gangs);
    counts.forEach((count) => {
      const isAllowed = count.way.decide(whole, free, units);
      count.allowed += isPossible ? 1 : 0;
      count.refused += isPossible && !isAllowed ? 1 : 0;
      count.wrong += !isPossible && isAllowed ? 1 : 0;
    });
  }
  const rows = counts.map(({ way, allowed, refused, wrong }) => ({
    way: way.name,
    allowed,
    refused,
    share: refused / allowed,
    wrong,
  }));
  const table = formatTable(
    ['way', 'oracle allows', 'refused', 'share', 'wrongly allowed'],
    rows.map((row) => [
      row.way,
      String(row.allowed),
      String(row.refused),
      `${(row.share * 100).toFixed(2)}%`,
      String(row.wrong),
    ]),
  );
  return {
    rows,
    text: `\n## Guarantees refused although possible, ${stateCount} states\n\n${table}`,
  };
}

function createState(random: Random) {
  const workers = Array.from({ length: rackCount * workersPerRack }, (_, index) => ({
    id: `worker-${index}`,
    rack: `rack-${Math.floor(index / workersPerRack)}`,
    accelerators: acceleratorsPerWorker,
    isUsable: true,
  }));
  const whole = Capacity.of(workers);
  const free = whole.clone();
  workers.forEach((_, index) => {
    // A few workers are lost, some partly used by guaranteed jobs.
    const taken = random.fraction() < 0.1 ? acceleratorsPerWorker : random.below(4);
    free.adjust(index, random.fraction() < 0.4 ? -taken : 0);
  });
  const units = Array.from({ length: 1 + random.below(maxUnits) }, (_, index): GuaranteeUnit => {
    const name = `guarantee-${index}`;
    return { id: `${name}#0`, guarantee: name, account: name, shape: createShape(random) };
  });
  return { whole, free, units };
}

function createShape(random: Random): Shape {
  return {
    workers: 1 + random.below(4),
    acceleratorsPerWorker: random.pick([1, 2, 3, 4, 5, 8]),
    adjacency: random.fraction() < 0.6 ? Adjacency.rack : Adjacency.any,
  };
}
