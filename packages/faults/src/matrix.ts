import type { FaultKind } from './faultKinds.js';
import { faultKinds } from './faultKinds.js';
import type { Flow } from './flows.js';
import { flows } from './flows.js';
import type { Cell } from './runCell.js';

/** Message numbers of a flow at which faults are injected, chosen to cover every step of a flow. */
const steps = [0, 3, 6, 10, 14, 19, 24, 40];
const pairStep = 10;
const twiceStep = 6;

/** Groups of cells; values of the command-line option `--set`. */
export const CellSet = {
  single: 'single',
  twice: 'twice',
  pairs: 'pairs',
  subset: 'subset',
} as const;
export type CellSet = (typeof CellSet)[keyof typeof CellSet];

const noFaultName = 'none';

/** Every flow with every fault at every step. */
function singleCells(seed: number): Cell[] {
  return flows.flatMap((flow) =>
    faultKinds.flatMap((fault) => steps.map((step) => ({ flow, faults: [fault], step, seed }))),
  );
}

/** Every flow with every fault injected twice. */
function twiceCells(seed: number): Cell[] {
  return flows.flatMap((flow) =>
    realFaults().map((fault) => ({ flow, faults: [fault, fault], step: twiceStep, seed })),
  );
}

/** Every pair of faults, with the flows assigned in rotation. */
function pairCells(seed: number): Cell[] {
  const candidates = realFaults();
  const pairs = candidates.flatMap((first, index) =>
    candidates.slice(index + 1).map((second) => [first, second] as const),
  );
  return pairs.map((faults, index) => ({
    flow: flows[(index + seed) % flows.length] as Flow,
    faults: [...faults],
    step: pairStep,
    seed,
  }));
}

/** The cells that the tests run: every fault once, with flows and steps in rotation. */
function subsetCells(seed: number): Cell[] {
  return faultKinds.map((fault, index) => ({
    flow: flows[index % flows.length] as Flow,
    faults: [fault],
    step: steps[index % steps.length] ?? 0,
    seed,
  }));
}

const builders: Record<CellSet, (seed: number) => Cell[]> = {
  single: singleCells,
  twice: twiceCells,
  pairs: pairCells,
  subset: subsetCells,
};

export function createCells(sets: readonly CellSet[], seed: number): Cell[] {
  return sets.flatMap((set) => builders[set](seed));
}

/** Creates a cell from the names of its flow and faults. */
export function findCell(
  flowName: string,
  faultNames: readonly string[],
  step: number,
  seed: number,
): Cell {
  return { flow: findFlow(flowName), faults: faultNames.map(findFault), step, seed };
}

function findFlow(name: string): Flow {
  const flow = flows.find((candidate) => candidate.name === name);
  if (flow === undefined) {
    throw new RangeError(
      `flow "${name}" is not one of: ${flows.map((item) => item.name).join(', ')}`,
    );
  }
  return flow;
}

function findFault(name: string): FaultKind {
  const fault = faultKinds.find((candidate) => candidate.name === name);
  if (fault === undefined) {
    const known = faultKinds.map((item) => item.name).join(', ');
    throw new RangeError(`fault "${name}" is not one of: ${known}`);
  }
  return fault;
}

function realFaults(): FaultKind[] {
  return faultKinds.filter((fault) => fault.name !== noFaultName);
}
