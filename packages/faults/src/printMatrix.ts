import type { CellLine } from './main.js';
import type { Cell } from './runCell.js';

/** What one field of the printed matrix counts. */
interface Field {
  held: number;
  failed: number;
  notRun: number;
}

/** Lays the results out: a row for each fault or pair, a column for each flow. */
export function printMatrix(cells: readonly Cell[], lines: readonly CellLine[]): string {
  const byIndex = new Map(lines.map((line) => [line.index, line]));
  const flows = [...new Set(cells.map((cell) => cell.flow.name))];
  const rows = new Map<string, Map<string, Field>>();
  cells.forEach((cell, index) => {
    const name = rowName(cell);
    const row = rows.get(name) ?? new Map<string, Field>();
    rows.set(name, row);
    const field = row.get(cell.flow.name) ?? { held: 0, failed: 0, notRun: 0 };
    row.set(cell.flow.name, field);
    count(field, byIndex.get(index));
  });
  const width = Math.max(...[...rows.keys()].map((name) => name.length));
  const header = `${''.padEnd(width)}  ${flows.map((flow) => flow.padStart(columnWidth)).join('')}`;
  const body = [...rows].map(([name, row]) => {
    const fields = flows.map((flow) => describe(row.get(flow)).padStart(columnWidth));
    return `${name.padEnd(width)}  ${fields.join('')}`;
  });
  return ['held/cells; ! marks a failure, ? a cell that was not run', header, ...body].join('\n');
}

const columnWidth = 22;

// Pairs share a row for each first fault, so that the table stays readable.
function rowName(cell: Cell): string {
  const [first, second] = cell.faults;
  if (second === undefined) {
    return first?.name ?? '';
  }
  return first === second ? `${first?.name}, twice` : `${first?.name}, with another`;
}

function count(field: Field, line: CellLine | undefined): void {
  if (line === undefined) {
    field.notRun += 1;
  } else if (line.problems.length > 0) {
    field.failed += 1;
  } else {
    field.held += 1;
  }
}

function describe(field: Field | undefined): string {
  if (field === undefined) {
    return '.';
  }
  const marks = `${field.failed > 0 ? '!' : ''}${field.notRun > 0 ? '?' : ''}`;
  return `${marks}${field.held}/${field.held + field.failed + field.notRun}`;
}
