import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { messageOf } from '@apricothoist/common';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { defects } from './defects.js';
import { createCells, CellSet, findCell } from './matrix.js';
import { printMatrix } from './printMatrix.js';
import type { Cell, CellResult } from './runCell.js';
import { replayCommand, runCell } from './runCell.js';
import { runDefect } from './runDefect.js';

/** One cell's result as a child process prints it. */
export interface CellLine {
  readonly index: number;
  readonly problems: readonly string[];
}

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run faults --')
  .option('set', { choices: Object.values(CellSet), array: true, describe: 'groups of cells' })
  .option('flow', { type: 'string', describe: 'with --fault: run one cell' })
  .option('fault', { type: 'string', array: true })
  .option('step', { type: 'number', default: 0 })
  .option('seed', { type: 'number', default: 1 })
  .option('defects', { type: 'boolean', default: false, describe: 'plant the defects instead' })
  .option('shard', { type: 'string', hidden: true })
  .strict()
  .parseAsync();

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function problemsOf(result: CellResult): string[] {
  return [
    ...result.breaches.map(({ promise, seen }) => `${promise}: ${seen}`),
    ...(result.pending === undefined ? [] : [`never came about: ${result.pending}`]),
    ...result.errors.map((error) => `error: ${messageOf(error)}`),
  ];
}

async function runDefects(): Promise<boolean> {
  let isComplete = true;
  for (const defect of defects) {
    const { seen, seenWithout } = await runDefect(defect);
    const isProved = seen.length > 0 && seenWithout.length === 0;
    isComplete = isComplete && isProved;
    print(`${isProved ? 'seen    ' : 'NOT SEEN'}  ${defect.name}`);
    print(`          ${defect.promise}: ${seen[0]?.seen ?? '-'}`);
  }
  return isComplete;
}

async function runShard(cells: readonly Cell[], shard: string): Promise<void> {
  const [first = 0, count = 1] = shard.split('/').map(Number);
  for (let index = first; index < cells.length; index += count) {
    const cell = cells[index];
    if (cell !== undefined) {
      const line: CellLine = { index, problems: problemsOf(await runCell(cell)) };
      print(JSON.stringify(line));
    }
  }
}

// Cells take turns on one set of timers, so each process runs its share of them.
async function runAll(): Promise<CellLine[]> {
  const count = Math.max(1, availableParallelism() - 1);
  const lines: CellLine[] = [];
  const shards = Array.from({ length: count }, (_, shard) => {
    const args = [...process.argv.slice(2), '--shard', `${shard}/${count}`];
    const child = spawn(process.execPath, [fileURLToPath(import.meta.url), ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(JSON.parse(line) as CellLine);
    });
    return new Promise<void>((resolve) => {
      child.on('close', () => resolve());
    });
  });
  await Promise.all(shards);
  return lines;
}

async function runMatrix(sets: readonly CellSet[]): Promise<boolean> {
  const cells = createCells(sets, options.seed);
  if (options.shard !== undefined) {
    await runShard(cells, options.shard);
    return true;
  }
  print(`${cells.length} cells (${sets.join(', ')}), seed ${options.seed}`);
  const lines = await runAll();
  const failed = lines.filter((line) => line.problems.length > 0);
  print(printMatrix(cells, lines));
  failed.forEach(({ index, problems }) => {
    print(`\nfailed: ${replayCommand(cells[index] as Cell)}`);
    problems.forEach((problem) => print(`  ${problem}`));
  });
  const notRun = cells.length - lines.length;
  print(`\n${lines.length - failed.length} held, ${failed.length} failed, ${notRun} not run`);
  return failed.length === 0 && notRun === 0;
}

async function runOne(flow: string, faults: readonly string[]): Promise<boolean> {
  const cell = findCell(flow, faults, options.step, options.seed);
  const problems = problemsOf(await runCell(cell));
  print(problems.length === 0 ? 'held' : problems.join('\n'));
  return problems.length === 0;
}

async function run(): Promise<boolean> {
  if (options.defects) {
    return runDefects();
  }
  if (options.flow !== undefined) {
    return runOne(options.flow, options.fault ?? ['none']);
  }
  return runMatrix(options.set ?? [CellSet.single, CellSet.twice, CellSet.pairs]);
}

process.exitCode = (await run()) ? 0 : 1;
