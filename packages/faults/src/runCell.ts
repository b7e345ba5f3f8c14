import type { FaultKind } from './faultKinds.js';
import type { Flow } from './flows.js';
import type { Breach } from './PromiseChecks.js';
import { checkPromises } from './PromiseChecks.js';
import { VirtualWorld } from './VirtualWorld.js';

/** One cell of the matrix: faults that strike one after another at a step of a flow. */
export interface Cell {
  readonly flow: Flow;
  readonly faults: readonly FaultKind[];
  /** Message of the flow at which the first fault strikes. */
  readonly step: number;
  readonly seed: number;
}

/** What a cell showed. */
export interface CellResult {
  readonly cell: Cell;
  readonly breaches: readonly Breach[];
  /** What had not come about in the end although all faults were healed. */
  readonly pending: string | undefined;
  readonly errors: readonly unknown[];
}

/** Messages of the second fault after the first. */
const secondFaultAfter = 7;
/** Shortest time in milliseconds for which requests are sent; a planned stop takes half of it. */
const loadMs = 4_000;
/** Longest wait in milliseconds for the step; a flow may be shorter than that. */
const stepLimitMs = 3_000;
/** Time in milliseconds in which everything must come about after the last fault is healed. */
const settleLimitMs = 150_000;
const coolDownMs = 14_000;

/** Runs one cell and checks every promise. */
export async function runCell(cell: Cell): Promise<CellResult> {
  await using world = new VirtualWorld(cell.seed);
  await world.start();
  await cell.flow.prepare(world);
  world.caller.start();
  const base = world.network.messages;
  const faultsDone = strikeAt(world, cell, base);
  await cell.flow.begin(world);
  await world.run(loadMs);
  await world.runUntil(() => faultsDone.isDone, stepLimitMs + healTime(cell));
  world.caller.stop();
  await world.runUntil(() => cell.flow.pending(world) === undefined, settleLimitMs);
  await world.run(coolDownMs);
  return {
    cell,
    breaches: checkPromises(world),
    pending: cell.flow.pending(world),
    errors: [...world.errors],
  };
}

/** The command that runs the cell again. */
export function replayCommand(cell: Cell): string {
  const faults = cell.faults.map((fault) => `--fault '${fault.name}'`).join(' ');
  return `npm run faults -- --flow '${cell.flow.name}' ${faults} --step ${cell.step} --seed ${cell.seed}`;
}

interface Progress {
  isDone: boolean;
}

function strikeAt(world: VirtualWorld, cell: Cell, base: number): Progress {
  const progress: Progress = { isDone: false };
  let struck = 0;
  let healed = 0;
  const strike = (fault: FaultKind): void => {
    fault.strike(world);
    setTimeout(() => {
      fault.heal(world);
      healed += 1;
      progress.isDone = healed === cell.faults.length;
    }, fault.lengthMs);
  };
  const unwatch = world.network.watch((count) => {
    const fault = cell.faults[struck];
    if (fault !== undefined && count - base >= cell.step + struck * secondFaultAfter) {
      struck += 1;
      strike(fault);
    }
    if (struck === cell.faults.length) {
      unwatch();
    }
  });
  return progress;
}

function healTime(cell: Cell): number {
  return cell.faults.reduce((sum, fault) => sum + fault.lengthMs, 0);
}
