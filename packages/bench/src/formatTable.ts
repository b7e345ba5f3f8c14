/** Lays rows out in columns, numbers to the right. */
export function formatTable(header: readonly string[], rows: readonly string[][]): string {
  const all = [[...header], ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all
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
