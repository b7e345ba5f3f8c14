// Generates docs/STATES.md from the state charts and prints it; with --check, compares it with the
// committed page.
import { readFileSync } from 'node:fs';
import process from 'node:process';
import { URL } from 'node:url';

const charts = [
  ['Job', 'packages/scheduler/src/job.chart.json'],
  ['Attempt', 'packages/scheduler/src/attempt.chart.json'],
  ['Endpoint, as one instance sees it', 'packages/router/src/endpoint.chart.json'],
  ['Instance, as another one sees it', 'packages/mesh/src/instance.chart.json'],
];

function readProjectFile(file) {
  return readFileSync(new URL(`../${file}`, import.meta.url), 'utf8');
}

function renderChart([title, file]) {
  const chart = JSON.parse(readProjectFile(file));
  const lines = Object.entries(chart.states).flatMap(([state, { type, on = {} }]) => [
    ...Object.entries(on).map(([event, target]) => `    ${state} --> ${target}: ${event}`),
    ...(type === 'final' ? [`    ${state} --> [*]`] : []),
  ]);
  const diagram = ['stateDiagram-v2', `    [*] --> ${chart.initial}`, ...lines].join('\n');
  return `## ${title}\n\n\`${file}\`\n\n\`\`\`mermaid\n${diagram}\n\`\`\`\n`;
}

const introduction = `# State charts

The code interprets these charts; this page is printed from them by \`node scripts/print-charts.mjs\`, and CI
checks that it is up to date. An event that a state does not list leaves the state as it is.
`;
const page = [introduction, ...charts.map(renderChart)].join('\n');
if (process.argv.includes('--check')) {
  const isCurrent = readProjectFile('docs/STATES.md') === page;
  process.stdout.write(
    isCurrent ? 'docs/STATES.md is up to date\n' : 'docs/STATES.md is out of date\n',
  );
  process.exitCode = isCurrent ? 0 : 1;
} else {
  process.stdout.write(page);
}
