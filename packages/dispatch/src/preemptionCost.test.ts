import { ReplaySimulation } from '@apricothoist/testing';
import test from 'ava';

const wholeRunner = { cpu: 13_000, memoryMb: 53_000, accelerators: 8 };
const durationMs = 8_000;

// Work that would be repeated was all that counted: of two jobs that had run as long, the one that
// then missed its objective was as good a victim as the one with plenty of slack.
test('an urgent gang stops the job that can afford to wait', (t) => {
  const simulation = new ReplaySimulation(1, 2);
  const step = { size: wholeRunner, declaredMs: durationMs };
  // The first step of the late job takes most of its objective; both have then run for a second.
  const late = simulation.submit({ queue: 'large', steps: [step], durationMs });
  const other = simulation.submit({ queue: 'large', steps: [step], durationMs });
  const lateJob = simulation.dispatcher.state.jobs.get(late);
  simulation.run(2_000);
  Object.assign(lateJob ?? {}, { arrivedAt: simulation.now - 16_000 });
  simulation.submit({
    queue: 'urgent',
    steps: [{ size: wholeRunner, isGang: true, declaredMs: 2_000 }],
    durationMs: 2_000,
  });
  simulation.run(2_500);
  const aborted = simulation.decisions.filter(({ kind }) => kind === 'groupAborted');
  t.deepEqual(
    aborted.map(({ fields }) => fields.job),
    [other],
  );
});
