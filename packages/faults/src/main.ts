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

/** Result of one cell; a child process prints it as a line of JSON. */
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
  .option('defects', {
    type: 'boolean',
    default: false,
    describe: 'check instead that each injected defect is detected',
  })
  .option('shard', { type: 'string', hidden: true })
  .strict()
  .parseAsync();

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function listProblems(result: CellResult): string[] {
  return [
    ...result.violations.map(({ invariant, details }) => `${invariant}: ${details}`),
    ...(result.unmetGoal === undefined ? [] : [`goal not reached: ${result.unmetGoal}`]),
    ...result.errors.map((error) => `error: ${messageOf(error)}`),
  ];
}

async function runDefects(): Promise<boolean> {
  let areAllDetected = true;
  for (const defect of defects) {
    const { detected, violationsWithoutDefect } = await runDefect(defect);
    const isDetected = detected.length > 0 && violationsWithoutDefect.length === 0;
    areAllDetected = areAllDetected && isDetected;
    print(`${isDetected ? 'detected    ' : 'NOT DETECTED'}  ${defect.name}`);
    print(`              ${defect.invariant}: ${detected[0]?.details ?? '-'}`);
  }
  return areAllDetected;
}

async function runShard(cells: readonly Cell[], shard: string): Promise<void> {
  const [first = 0, count = 1] = shard.split('/').map(Number);
  for (let index = first; index < cells.length; index += count) {
    const cell = cells[index];
    if (cell !== undefined) {
      const line: CellLine = { index, problems: listProblems(await runCell(cell)) };
      print(JSON.stringify(line));
    }
  }
}

// A process can run only one cell at a time, because a cell replaces the timers of the process. So
// the cells are divided among child processes.
async function runShards(): Promise<CellLine[]> {
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
  const lines = await runShards();
  const failed = lines.filter((line) => line.problems.length > 0);
  print(printMatrix(cells, lines));
  failed.forEach(({ index, problems }) => {
    print(`\nfailed: ${replayCommand(cells[index] as Cell)}`);
    problems.forEach((problem) => print(`  ${problem}`));
  });
  const notRun = cells.length - lines.length;
  print(`\n${lines.length - failed.length} passed, ${failed.length} failed, ${notRun} not run`);
  return failed.length === 0 && notRun === 0;
}

async function runSingleCell(flow: string, faults: readonly string[]): Promise<boolean> {
  const cell = findCell(flow, faults, options.step, options.seed);
  const problems = listProblems(await runCell(cell));
  print(problems.length === 0 ? 'passed' : problems.join('\n'));
  return problems.length === 0;
}

async function run(): Promise<boolean> {
  if (options.defects) {
    return runDefects();
  }
  if (options.flow !== undefined) {
    return runSingleCell(options.flow, options.fault ?? ['none']);
  }
  return runMatrix(options.set ?? [CellSet.single, CellSet.twice, CellSet.pairs]);
}

process.exitCode = (await run()) ? 0 : 1;
