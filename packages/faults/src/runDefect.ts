import type { Defect } from './defects.js';
import { findCell } from './matrix.js';
import type { Violation } from './invariantChecks.js';
import { runCell } from './runCell.js';

/** Results of the checks with an injected defect, and without it. */
export interface DefectResult {
  readonly defect: Defect;
  /** Violations of the defect's invariant with the defect. If empty, the check detects nothing. */
  readonly detected: readonly Violation[];
  /** Violations of any invariant in the same cell without the defect. */
  readonly violationsWithoutDefect: readonly Violation[];
}

const step = 6;
const seed = 1;

/** Runs a defect's cell with the defect, then without it. */
export async function runDefect(defect: Defect): Promise<DefectResult> {
  const cell = findCell(defect.flow, [defect.fault], step, seed);
  const removeDefect = defect.inject();
  try {
    const { violations } = await runCell(cell);
    const detected = violations.filter((violation) => violation.invariant === defect.invariant);
    removeDefect();
    const resultWithout = await runCell(cell);
    return { defect, detected, violationsWithoutDefect: resultWithout.violations };
  } finally {
    removeDefect();
  }
}
