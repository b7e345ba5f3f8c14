import type { Defect } from './defects.js';
import { findCell } from './matrix.js';
import type { Breach } from './PromiseChecks.js';
import { runCell } from './runCell.js';

/** What the checks said with a defect planted, and without it. */
export interface DefectResult {
  readonly defect: Defect;
  /** Breaches of the defect's promise while it was planted; none means that the check is empty. */
  readonly seen: readonly Breach[];
  /** Breaches of the same cell without the defect. */
  readonly seenWithout: readonly Breach[];
}

const step = 6;
const seed = 1;

/** Runs a defect's cell with the defect and without it. */
export async function runDefect(defect: Defect): Promise<DefectResult> {
  const cell = findCell(defect.flow, [defect.fault], step, seed);
  const remove = defect.plant();
  try {
    const { breaches } = await runCell(cell);
    const seen = breaches.filter((breach) => breach.promise === defect.promise);
    remove();
    const without = await runCell(cell);
    return { defect, seen, seenWithout: without.breaches };
  } finally {
    remove();
  }
}
