import type { FaultKind } from './faultKinds.js';
import type { Flow } from './flows.js';
import type { Violation } from './invariantChecks.js';
import { checkInvariants } from './invariantChecks.js';
import { VirtualSimulation } from './VirtualSimulation.js';

/** One cell of the fault matrix: faults that are injected in turn, from a step of a flow on. */
export interface Cell {
  readonly flow: Flow;
  readonly faults: readonly FaultKind[];
  /** Number of the flow's message at which the first fault is injected. */
  readonly step: number;
  readonly seed: number;
}

/** The outcome of a cell. */
export interface CellResult {
  readonly cell: Cell;
  readonly violations: readonly Violation[];
  /** What the flow had not reached in the end although all faults were healed. */
  readonly unmetGoal: string | undefined;
  readonly errors: readonly unknown[];
}

/** Number of messages from the first fault to the second. */
const messagesBetweenFaults = 7;
/** Shortest time in milliseconds for which requests are sent. A graceful shutdown takes half of it. */
const minLoadMs = 4_000;
/** Longest wait in milliseconds for the step. A flow may end before it reaches the step. */
const stepLimitMs = 3_000;
/** Time in milliseconds within which the flow must reach its goal after the last fault is healed. */
const settleLimitMs = 150_000;
/** Time in milliseconds for which the cell runs on, so that late violations become visible. */
const coolDownMs = 14_000;

/** Runs one cell and checks every invariant. */
export async function runCell(cell: Cell): Promise<CellResult> {
  await using simulation = new VirtualSimulation(cell.seed);
  await simulation.start();
  await cell.flow.prepare(simulation);
  simulation.caller.start();
  const baseMessageCount = simulation.network.messageCount;
  const progress = injectFaults(simulation, cell, baseMessageCount);
  await cell.flow.start(simulation);
  await simulation.run(minLoadMs);
  await simulation.runUntil(() => progress.areAllHealed, stepLimitMs + totalFaultMs(cell));
  simulation.caller.stop();
  await simulation.runUntil(() => cell.flow.findUnmetGoal(simulation) === undefined, settleLimitMs);
  await simulation.run(coolDownMs);
  return {
    cell,
    violations: checkInvariants(simulation),
    unmetGoal: cell.flow.findUnmetGoal(simulation),
    errors: [...simulation.errors],
  };
}

/** Returns the command that runs the cell again. */
export function replayCommand(cell: Cell): string {
  const faults = cell.faults.map((fault) => `--fault '${fault.name}'`).join(' ');
  return `npm run faults -- --flow '${cell.flow.name}' ${faults} --step ${cell.step} --seed ${cell.seed}`;
}

interface FaultProgress {
  areAllHealed: boolean;
}

function injectFaults(
  simulation: VirtualSimulation,
  cell: Cell,
  baseMessageCount: number,
): FaultProgress {
  const progress: FaultProgress = { areAllHealed: false };
  let injectedCount = 0;
  let healedCount = 0;
  const inject = (fault: FaultKind): void => {
    fault.inject(simulation);
    setTimeout(() => {
      fault.heal(simulation);
      healedCount += 1;
      progress.areAllHealed = healedCount === cell.faults.length;
    }, fault.durationMs);
  };
  const stopListening = simulation.network.onMessage((count) => {
    const fault = cell.faults[injectedCount];
    if (
      fault !== undefined &&
      count - baseMessageCount >= cell.step + injectedCount * messagesBetweenFaults
    ) {
      injectedCount += 1;
      inject(fault);
    }
    if (injectedCount === cell.faults.length) {
      stopListening();
    }
  });
  return progress;
}

function totalFaultMs(cell: Cell): number {
  return cell.faults.reduce((sum, fault) => sum + fault.durationMs, 0);
}
