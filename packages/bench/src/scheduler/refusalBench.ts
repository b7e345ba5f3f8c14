import { Random } from '@apricothoist/common';
import { Adjacency } from '@apricothoist/config';
import type { GuaranteeUnit, Shape } from '@apricothoist/scheduler';
import { Capacity } from '@apricothoist/scheduler';
import { canPlaceTogether } from '@apricothoist/testing';

import { formatTable } from '../formatTable.js';
import { feasibilityStrategies } from './feasibilityStrategies.js';

const stateCount = 4_000;
const seed = 21;
const rackCount = 3;
const workersPerRack = 3;
const acceleratorsPerWorker = 8;
const maxUnits = 5;

/** How often a feasibility strategy refused guarantees that the exhaustive oracle can place. */
export interface RefusalCounts {
  readonly way: string;
  readonly allowed: number;
  readonly refused: number;
  readonly share: number;
  /** States that the strategy accepted although the oracle finds no placement; must be 0. */
  readonly wrong: number;
}

/** Compares the feasibility strategies with an exhaustive oracle on small random states. */
export function measureRefusals(): { readonly rows: RefusalCounts[]; readonly text: string } {
  const random = new Random(seed);
  const counts = feasibilityStrategies.map((strategy) => ({
    strategy,
    allowed: 0,
    refused: 0,
    wrong: 0,
  }));
  for (let state = 0; state < stateCount; state += 1) {
    const { total, free, units } = createRandomState(random);
    const racks = free.racks.map((workers) => workers.map((worker) => free.freeOf(worker)));
    const gangs = units.map(({ shape }) => ({
      tasks: shape.workers,
      acceleratorsPerTask: shape.acceleratorsPerWorker,
      isAdjacent: shape.adjacency === Adjacency.rack,
    }));
    const isPossible = canPlaceTogether(racks, gangs);
    counts.forEach((count) => {
      const isAllowed = count.strategy.isFeasible(total, free, units);
      count.allowed += isPossible ? 1 : 0;
      count.refused += isPossible && !isAllowed ? 1 : 0;
      count.wrong += !isPossible && isAllowed ? 1 : 0;
    });
  }
  const rows = counts.map(({ strategy, allowed, refused, wrong }) => ({
    way: strategy.name,
    allowed,
    refused,
    share: refused / allowed,
    wrong,
  }));
  const table = formatTable(
    ['strategy', 'oracle allows', 'refused', 'share', 'wrongly allowed'],
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

function createRandomState(random: Random) {
  const workers = Array.from({ length: rackCount * workersPerRack }, (_, index) => ({
    id: `worker-${index}`,
    rack: `rack-${Math.floor(index / workersPerRack)}`,
    accelerators: acceleratorsPerWorker,
    isUsable: true,
  }));
  const total = Capacity.of(workers);
  const free = total.clone();
  workers.forEach((_, index) => {
    // A few workers are unavailable, and some are partly used by guaranteed jobs.
    const usedAccelerators = random.fraction() < 0.1 ? acceleratorsPerWorker : random.below(4);
    free.adjust(index, random.fraction() < 0.4 ? -usedAccelerators : 0);
  });
  const units = Array.from({ length: 1 + random.below(maxUnits) }, (_, index): GuaranteeUnit => {
    const name = `guarantee-${index}`;
    return { id: `${name}#0`, guarantee: name, account: name, shape: createRandomShape(random) };
  });
  return { total, free, units };
}

function createRandomShape(random: Random): Shape {
  return {
    workers: 1 + random.below(4),
    acceleratorsPerWorker: random.pick([1, 2, 3, 4, 5, 8]),
    adjacency: random.fraction() < 0.6 ? Adjacency.rack : Adjacency.any,
  };
}
