import type { CellLine } from './main.js';
import type { Cell } from './runCell.js';

/** Counts of one field of the printed matrix. */
interface MatrixField {
  passed: number;
  failed: number;
  notRun: number;
}

/** Formats the results as a table with a column for each flow and a row for each fault or pair. */
export function printMatrix(cells: readonly Cell[], lines: readonly CellLine[]): string {
  const byIndex = new Map(lines.map((line) => [line.index, line]));
  const flows = [...new Set(cells.map((cell) => cell.flow.name))];
  const rows = new Map<string, Map<string, MatrixField>>();
  cells.forEach((cell, index) => {
    const name = rowNameOf(cell);
    const row = rows.get(name) ?? new Map<string, MatrixField>();
    rows.set(name, row);
    const field = row.get(cell.flow.name) ?? { passed: 0, failed: 0, notRun: 0 };
    row.set(cell.flow.name, field);
    countResult(field, byIndex.get(index));
  });
  const width = Math.max(...[...rows.keys()].map((name) => name.length));
  const header = `${''.padEnd(width)}  ${flows.map((flow) => flow.padStart(columnWidth)).join('')}`;
  const body = [...rows].map(([name, row]) => {
    const fields = flows.map((flow) => formatField(row.get(flow)).padStart(columnWidth));
    return `${name.padEnd(width)}  ${fields.join('')}`;
  });
  return ['passed/cells; ! marks a failure, ? a cell that was not run', header, ...body].join('\n');
}

const columnWidth = 22;

// Pairs with the same first fault share a row, to keep the table short.
function rowNameOf(cell: Cell): string {
  const [first, second] = cell.faults;
  if (second === undefined) {
    return first?.name ?? '';
  }
  return first === second ? `${first?.name}, twice` : `${first?.name}, with another`;
}

function countResult(field: MatrixField, line: CellLine | undefined): void {
  if (line === undefined) {
    field.notRun += 1;
  } else if (line.problems.length > 0) {
    field.failed += 1;
  } else {
    field.passed += 1;
  }
}

function formatField(field: MatrixField | undefined): string {
  if (field === undefined) {
    return '.';
  }
  const marks = `${field.failed > 0 ? '!' : ''}${field.notRun > 0 ? '?' : ''}`;
  return `${marks}${field.passed}/${field.passed + field.failed + field.notRun}`;
}
