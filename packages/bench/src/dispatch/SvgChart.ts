/** A line of a chart: values at equal distances. */
export interface ChartLine {
  readonly name: string;
  readonly values: readonly number[];
}

/** A stacked bar of a chart. */
export interface ChartBar {
  readonly name: string;
  readonly parts: Readonly<Record<string, number>>;
}

const plotWidth = 360;
const plotHeight = 160;
const margin = 40;
const legendWidth = 110;
const lineHeight = 16;
export const chartWidth = margin + plotWidth + legendWidth;
export const chartHeight = margin + plotHeight + margin;
/** Colours that differ for readers with colour vision deficiencies, after Okabe and Ito. */
const colours = [
  '#0072b2',
  '#e69f00',
  '#009e73',
  '#d55e00',
  '#cc79a7',
  '#56b4e9',
  '#f0e442',
  '#000000',
];

function escapeXml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}

function drawText(x: number, y: number, text: string, anchor = 'start'): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeXml(text)}</text>`;
}

function colourOf(index: number): string {
  return colours[index % colours.length] as string;
}

/** Vertical position of a share between 0 and 1. */
function positionOf(share: number): number {
  return margin + plotHeight * (1 - Math.min(1, Math.max(0, share)));
}

function drawFrame(title: string, legend: readonly string[]): string {
  const ticks = [0, 0.5, 1].flatMap((share) => {
    const y = positionOf(share);
    return [
      `<line x1="${margin}" x2="${margin + plotWidth}" y1="${y}" y2="${y}" stroke="#ccc"/>`,
      drawText(margin - 6, y + 4, String(share), 'end'),
    ];
  });
  const entries = legend.flatMap((name, index) => {
    const y = margin + index * lineHeight;
    const x = margin + plotWidth + 10;
    return [
      `<rect x="${x}" y="${y}" width="10" height="10" fill="${colourOf(index)}"/>`,
      drawText(x + 14, y + 10, name),
    ];
  });
  return [drawText(margin, margin - 14, title), ...ticks, ...entries].join('\n');
}

/** Draws lines of shares between 0 and 1 over time. */
export function drawLineChart(title: string, seconds: number, lines: readonly ChartLine[]): string {
  const paths = lines.map(({ values }, index) => {
    const points = values.map((value, position) => {
      const x = margin + (plotWidth * (position + 0.5)) / values.length;
      return `${x.toFixed(1)},${positionOf(value).toFixed(1)}`;
    });
    const stroke = colourOf(index);
    return `<polyline fill="none" stroke="${stroke}" stroke-width="2" points="${points.join(' ')}"/>`;
  });
  const names = lines.map(({ name }) => name);
  const axisY = margin + plotHeight + lineHeight;
  const axis = [
    drawText(margin, axisY, '0 s'),
    drawText(margin + plotWidth, axisY, `${seconds} s`, 'end'),
  ];
  return [drawFrame(title, names), ...paths, ...axis].join('\n');
}

/** Draws bars that are stacked of shares between 0 and 1; all have parts of the same names. */
export function drawBarChart(title: string, bars: readonly ChartBar[]): string {
  const names = Object.keys(bars[0]?.parts ?? {});
  const step = plotWidth / Math.max(1, bars.length);
  const shapes = bars.flatMap(({ name, parts }, position) => {
    const x = margin + (position + 0.15) * step;
    let base = 0;
    const rectangles = names.map((part, index) => {
      const top = positionOf(base + (parts[part] ?? 0));
      const height = positionOf(base) - top;
      base += parts[part] ?? 0;
      const size = `width="${(0.7 * step).toFixed(1)}" height="${height.toFixed(1)}"`;
      return `<rect x="${x.toFixed(1)}" y="${top.toFixed(1)}" ${size} fill="${colourOf(index)}"/>`;
    });
    const label = drawText(x + 0.35 * step, margin + plotHeight + lineHeight, name, 'middle');
    return [...rectangles, label];
  });
  return [drawFrame(title, names), ...shapes].join('\n');
}

/** Arranges charts in rows; each row has a heading. */
export function arrangeCharts(
  rows: readonly { readonly heading: string; readonly charts: readonly string[] }[],
): string {
  const rowHeight = chartHeight + lineHeight;
  const columns = Math.max(1, ...rows.map(({ charts }) => charts.length));
  const content = rows.flatMap(({ heading, charts }, row) => [
    `<g font-weight="bold">${drawText(margin, row * rowHeight + lineHeight, heading)}</g>`,
    ...charts.map((chart, column) => {
      const x = column * chartWidth;
      const y = row * rowHeight + lineHeight;
      return `<g transform="translate(${x} ${y})">\n${chart}\n</g>`;
    }),
  ]);
  const width = columns * chartWidth;
  const height = rows.length * rowHeight;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}"`,
    ` viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="11">\n`,
    `<rect width="${width}" height="${height}" fill="white"/>\n`,
    `${content.join('\n')}\n</svg>\n`,
  ].join('');
}
