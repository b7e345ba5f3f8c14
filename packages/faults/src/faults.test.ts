import test from 'ava';

import { defects } from './defects.js';
import { CellSet, createCells } from './matrix.js';
import { replayCommand, runCell } from './runCell.js';
import { runDefect } from './runDefect.js';

const seed = 1;

createCells([CellSet.subset], seed).forEach((cell) => {
  const faults = cell.faults.map((fault) => fault.name).join(' and ');
  test.serial(`${cell.flow.name}: ${faults} at message ${cell.step}`, async (t) => {
    const { violations, unmetGoal, errors } = await runCell(cell);
    t.deepEqual(
      { violations, unmetGoal, errors },
      { violations: [], unmetGoal: undefined, errors: [] },
    );
    t.log(replayCommand(cell));
  });
});

defects.forEach((defect) => {
  test.serial(`the checks detect the defect: ${defect.name}`, async (t) => {
    const { detected, violationsWithoutDefect } = await runDefect(defect);
    t.not(detected.length, 0);
    t.deepEqual(violationsWithoutDefect, []);
  });
});
