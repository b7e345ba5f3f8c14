/** Formats rows as a text table: the first column is left-aligned, all others are right-aligned. */
export function formatTable(header: readonly string[], rows: readonly string[][]): string {
  const allRows = [[...header], ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? '').length)),
  );
  return allRows
    .map((row) =>
      row
        .map((cell, column) => {
          const width = widths[column] ?? 0;
          return column === 0 ? cell.padEnd(width) : cell.padStart(width);
        })
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
