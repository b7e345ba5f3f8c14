import type { ListedRunner } from '@apricothoist/dispatch';
import { ok } from 'neverthrow';

import type { RunnerRegistry } from '../RunnerRegistry.js';

/** Creates a registry that always lists these runners. */
export function createRegistry(runners: readonly ListedRunner[] = []): RunnerRegistry {
  const entries = runners.map((runner) => ({ runner, revision: 1 }));
  return {
    invalidEntries: 0,
    list: async () => ok({ entries, unreadableIds: new Set(), revision: 1 }),
  };
}
