import type { StartCommand, Step } from '@apricothoist/dispatch';
import { defaultPolicy } from '@apricothoist/dispatch';
import test from 'ava';

import type { ReplayedRun } from './ReplayRunner.js';
import { ReplayRunner } from './ReplayRunner.js';
import { ReplaySimulation } from './ReplaySimulation.js';
import { plainDeployment, plainStep } from './replaySettings.js';

const noVariation = { slowEvery: 0, slowFactor: 1, unevenness: 0 };
const entry = {
  id: 'runner',
  address: 'runner',
  service: 'service',
  dataCentre: 'a',
  rack: 'rack',
  labels: [],
  capacity: plainDeployment.capacity,
  isDraining: false,
  processStartedAt: 1,
};
const command: StartCommand = {
  runnerId: 'runner',
  processStartedAt: 1,
  jobId: '1',
  task: '1.0.0.0',
  run: 1,
  payload: '',
  saved: '2000',
};

/** Stops a run of a task of 10 s after 3 s, on a runner of half the speed. */
function stopRun(step: Step): { saved: string | undefined; run: ReplayedRun | undefined } {
  const runs: ReplayedRun[] = [];
  const timing = { saveIntervalMs: 1_000, reportIntervalMs: 100 };
  const runner = new ReplayRunner(entry, 2, timing, (run) => runs.push(run));
  runner.start(command, step, 10_000, 0);
  const task = runner.tasks.get('1.0.0.0#1');
  Object.assign(task ?? {}, { stopAt: 3_000 });
  return { saved: runner.report(3_000).ended[0]?.saved, run: runs[0] };
}

// A second stop saved only the work of its own run, so that the work of the first one was repeated.
test('a stopped run keeps the work up to its last save, with that of the run it resumed', (t) => {
  const { saved, run } = stopRun({ ...plainStep, savesProgress: true });
  t.is(saved, '3000', '2,000 ms resumed and 1,500 ms of work at half the speed');
  t.is(run?.lostMs, 1_000);
  const unsaved = stopRun(plainStep);
  t.is(unsaved.saved, '');
  t.is(unsaved.run?.lostMs, 3_000);
});

// Callers that never give up would hide that refusals cost credit.
test('a caller comes back after its Retry-After, at most four times', (t) => {
  const deployment = { hasAdmission: true };
  const simulation = new ReplaySimulation(1, 1, defaultPolicy, noVariation, deployment);
  const id = simulation.submit({
    queue: 'urgent',
    steps: [{ size: { ...plainStep.size, accelerators: 9 } }],
    durationMs: 1_000,
  });
  const job = simulation.jobs.get(id);
  t.is(job?.refusals, 1);
  simulation.run(119_000);
  t.false(job?.isRefused, 'no runner has nine accelerators: four times 30 s');
  simulation.run(123_000);
  t.is(job?.refusals, 5);
  t.true(job?.isRefused);
});

test('the speeds of runners apply in turn, and a gang spread over racks takes longer', (t) => {
  const variation = { ...noVariation, speeds: [0.5, 2] };
  const play = (count: number, prefersOneRack: boolean): number => {
    const deployment = { farSlowdown: 3 };
    const simulation = new ReplaySimulation(2, 2, defaultPolicy, variation, deployment);
    const size = { ...plainStep.size, accelerators: 8 };
    const steps = [{ count, size, isGang: true, prefersOneRack }];
    const id = simulation.submit({ queue: 'urgent', steps, durationMs: 1_000 });
    simulation.run(12_000);
    const { startedAt = 0, endedAt = 0 } = simulation.jobs.get(id) ?? {};
    return endedAt - startedAt;
  };
  const stepMs = 20;
  t.true(Math.abs(play(4, false) - 2_000) <= stepMs, 'the slowest runner decides');
  t.true(Math.abs(play(4, true) - 6_000) <= stepMs, 'three times as long');
});
