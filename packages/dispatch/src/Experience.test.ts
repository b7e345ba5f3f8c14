import { generateLoad, listedRunner, ReplayWorld } from '@apricothoist/testing';
import test from 'ava';

import { Dispatcher } from './Dispatcher.js';

test('a successor knows durations, slow runners and the room that urgent jobs need', (t) => {
  const variety = { slowEvery: 3, slowFactor: 1.3, unevenness: 0 };
  const world = new ReplayWorld(4, 6, undefined, variety);
  world.play(20_000, generateLoad(1, 18_000, 1.5));
  const { state } = world.dispatcher;
  const experience = world.dispatcher.recordExperience(world.now);
  const successor = new Dispatcher(state.bounds, state.log);
  successor.restoreExperience(JSON.parse(JSON.stringify(experience)) as typeof experience, 0);
  successor.listRunners(
    [...state.runners.values()].map(({ listed }) => listed),
    0,
  );
  const slow = (dispatcher: Dispatcher): string[] =>
    [...dispatcher.state.runners.values()]
      .filter(({ slowdown: pace }) => pace.isSlow)
      .map(({ id }) => id);
  t.true(slow(world.dispatcher).length > 0);
  t.deepEqual(slow(successor), slow(world.dispatcher));
  const usual = (dispatcher: Dispatcher): number =>
    Math.round(dispatcher.state.estimates.learned('urgent') / 10);
  t.is(usual(successor), usual(world.dispatcher));
  t.is(successor.state.urgentDemand.coveredDemand, state.urgentDemand.coveredDemand);
  t.is(successor.state.urgentHeadroom.at(0, Infinity), experience.headroom);
});

test('what was learned of a former life of a runner does not count', (t) => {
  const dispatcher = new Dispatcher(new ReplayWorld(1, 1).dispatcher.state.bounds, {
    decide: () => undefined,
  });
  const paces = [['r1', 1, [9, 0.3] as const] as const];
  dispatcher.restoreExperience({ durations: [], paces, headroom: 0, demand: [] }, 0);
  dispatcher.listRunners([listedRunner('r1', { bornAt: 2 })], 0);
  t.false(dispatcher.state.runners.get('r1')?.slowdown.isSlow);
});
