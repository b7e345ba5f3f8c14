import { Random } from '@apricothoist/common';
import test from 'ava';

import { RunnerSpeed } from './RunnerSpeed.js';
import { SpeedClasses } from './SpeedClasses.js';
import { StepDurations } from './StepDurations.js';

interface TestRunner {
  readonly speed: RunnerSpeed;
  readonly factor: number;
}

function createRunners(factors: readonly number[]): TestRunner[] {
  return factors.map((factor) => ({ speed: new RunnerSpeed(), factor }));
}

const stepTasks = 13;
const stragglerShare = 0.03;
const stragglerFactor = 7;

/** Executes a step whose tasks vary by 30 %, and of which 3 % take seven times as long. */
function executeStep(runners: readonly TestRunner[], random: Random): void {
  const durations = new StepDurations();
  const first = random.below(runners.length);
  for (let task = 0; task < stepTasks; task += 1) {
    const { speed, factor } = runners[(first + task) % runners.length] as TestRunner;
    const extension = random.fraction() < stragglerShare ? stragglerFactor : 1;
    durations.add(speed, (random.jitter(2_000, 0.3) * extension) / factor);
  }
}

const alike = Array.from({ length: 24 }, () => 1);
const uneven = Array.from({ length: 24 }, (_, index) => (index % 4 === 0 ? 0.55 : 1.2));

test('a runner counts as slow after several samples, not after a single one', (t) => {
  const runners = createRunners([1, 1, 1, 1, 1, 1, 1, 0.77]);
  const classes = new SpeedClasses();
  const addSamples = (count: number, log: number): void => {
    runners.forEach(({ speed }, index) => {
      for (let sample = 0; sample < count; sample += 1) {
        speed.add(index === runners.length - 1 ? log : 0);
      }
    });
    classes.update(runners);
  };
  const { speed } = runners.at(-1) as TestRunner;
  addSamples(1, -Math.log(1.3));
  t.is(speed.value, 1);
  t.true(speed.certainty < 0.5);
  addSamples(9, -Math.log(1.3));
  t.true(speed.value < 1 / 1.13);
  t.true(speed.certainty > 0.8);
  addSamples(8, 0);
  t.true(speed.value > 1 / 1.13, 'a runner that has recovered no longer counts as slow');
});

// Random differences would break up the packing of narrow tasks.
test('uneven tasks and tasks of seven times the length make no runner slow', (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const runners = createRunners(alike);
    const random = new Random(seed);
    const classes = new SpeedClasses();
    for (let step = 0; step < 60; step += 1) {
      executeStep(runners, random);
      classes.update(runners);
      t.deepEqual(classes.levels, [1], `seed ${seed}, step ${step}`);
    }
  }
});

test('runners at 0.55 and 1.2 of the mean speed form two classes after six samples each', (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const runners = createRunners(uneven);
    const random = new Random(seed);
    const classes = new SpeedClasses();
    for (let step = 0; step < 12; step += 1) {
      executeStep(runners, random);
      classes.update(runners);
    }
    runners.forEach(({ speed, factor }) => t.is(speed.value < 1, factor < 1, `seed ${seed}`));
    for (let step = 0; step < 48; step += 1) {
      executeStep(runners, random);
      classes.update(runners);
    }
    t.is(classes.levels.length, 2, `seed ${seed}: ${classes.description}`);
    const [slow = 0, fast = 0] = classes.levels;
    t.true(Math.abs(slow / fast / (0.55 / 1.2) - 1) < 0.1, `seed ${seed}: ${classes.description}`);
  }
});

// Other work prefers slow runners, so whole steps run on them; they must not count as normal then.
test('slow runners stay slow while steps run on slow runners only', (t) => {
  const runners = createRunners(uneven);
  const slow = runners.filter(({ factor }) => factor < 1);
  const random = new Random(1);
  const classes = new SpeedClasses();
  for (let step = 0; step < 40; step += 1) {
    executeStep(runners, random);
    classes.update(runners);
  }
  for (let step = 0; step < 60; step += 1) {
    executeStep(slow, random);
    classes.update(runners);
  }
  slow.forEach(({ speed }) => t.true(speed.value < 0.7));
});

test('the first tasks of a step give no result, later ones are compared with the median', (t) => {
  const [one, two, three, four] = createRunners([1, 1, 1, 1]).map(({ speed }) => speed);
  const step = new StepDurations();
  [one, two, three].forEach((speed) => step.add(speed as RunnerSpeed, 2_000));
  t.is(one?.samples, 0);
  step.add(four as RunnerSpeed, 2_600);
  t.is(one?.samples, 1, 'tasks that were projected earlier are compared as well');
  t.is(Math.round(100 * (four?.sampleLog ?? 0)), -26);
});

test('tasks on the same runner are not compared with each other', (t) => {
  const speed = new RunnerSpeed();
  const step = new StepDurations();
  [2_000, 2_000, 2_000, 4_000].forEach((durationMs) => step.add(speed, durationMs));
  t.is(speed.samples, 0);
});

test('stored slowdowns of earlier versions are read', (t) => {
  const speed = new RunnerSpeed();
  speed.restore([9, 0.262]);
  t.is(Math.round(100 * Math.exp(speed.sampleLog)), 77);
  t.deepEqual(speed.record.slice(0, 2), [9, 0.262]);
});
