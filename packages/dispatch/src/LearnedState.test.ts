import { generateLoad, listedRunner, ReplaySimulation } from '@apricothoist/testing';
import test from 'ava';

import { Dispatcher } from './Dispatcher.js';

test('learned state restores durations, slow runners and urgent headroom', (t) => {
  const variety = { slowEvery: 3, slowFactor: 1.3, unevenness: 0 };
  const simulation = new ReplaySimulation(4, 6, undefined, variety);
  simulation.run(20_000, generateLoad(1, 18_000, 1.5));
  const { state } = simulation.dispatcher;
  const learnedState = simulation.dispatcher.exportLearnedState(simulation.now);
  const successor = new Dispatcher(state.bounds, state.log);
  successor.restoreLearnedState(JSON.parse(JSON.stringify(learnedState)) as typeof learnedState, 0);
  successor.updateRunners(
    [...state.runners.values()].map(({ listed }) => listed),
    0,
  );
  const slowRunners = (dispatcher: Dispatcher): string[] =>
    [...dispatcher.state.runners.values()]
      .filter(({ speed }) => speed.value < 1)
      .map(({ id }) => id);
  t.true(slowRunners(simulation.dispatcher).length > 0);
  t.deepEqual(slowRunners(successor), slowRunners(simulation.dispatcher));
  const typicalDuration = (dispatcher: Dispatcher): number =>
    Math.round(dispatcher.state.estimates.typicalMs('urgent') / 10);
  t.is(typicalDuration(successor), typicalDuration(simulation.dispatcher));
  t.is(successor.state.urgentDemand.coveredDemand, state.urgentDemand.coveredDemand);
  t.is(successor.state.urgentHeadroom.at(0, Infinity), learnedState.headroom);
});

test('learned speed of an earlier incarnation of a runner is ignored', (t) => {
  const dispatcher = new Dispatcher(new ReplaySimulation(1, 1).dispatcher.state.bounds, {
    decide: () => undefined,
  });
  const paces = [['r1', 1, [9, 0.3] as const] as const];
  dispatcher.restoreLearnedState({ durations: [], paces, headroom: 0, demand: [] }, 0);
  dispatcher.updateRunners([listedRunner('r1', { processStartedAt: 2 })], 0);
  t.is(dispatcher.state.runners.get('r1')?.speed.samples, 0);
});
