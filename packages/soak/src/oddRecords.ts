import type { Random } from '@apricothoist/common';
import { delay } from '@apricothoist/common';

import type { Fault, FaultContext } from './faults.js';

const nestedDepth = 200_000;

/** Values that are no record of any kind. */
const oddTexts: readonly string[] = [
  '',
  'no JSON',
  'null',
  '5',
  '{}',
  '[]',
  '['.repeat(nestedDepth) + ']'.repeat(nestedDepth),
];

const oddValues: readonly unknown[] = [
  null,
  -1,
  0.5,
  1e308,
  Number.MAX_SAFE_INTEGER,
  '',
  '127.0.0.1:99999',
  '999.1.1.1:80',
  [],
  {},
];

/** A text that is no record, or the present one with an odd value in one of its fields. */
function drawOdd(random: Random, present: string | undefined): string {
  const isChanged = present !== undefined && random.fraction() < 0.6;
  const record = isChanged ? parseRecord(present) : undefined;
  if (record === undefined) {
    return random.pick(oddTexts);
  }
  const field = random.pick(Object.keys(record));
  return JSON.stringify({ ...record, [field]: random.pick(oddValues) });
}

/** Fields of a record; undefined if an odd value is there already. */
function parseRecord(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isRecord = typeof value === 'object' && value !== null && Object.keys(value).length > 0;
    return isRecord ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Leaves an odd value under a key, and puts back what was there unless it was replaced meanwhile.
 *
 * @param mayChange whether the odd value may be the sound one with another field, which can be sound
 */
async function replaceRecord(
  { deployment, random }: FaultContext,
  key: string,
  mayChange = false,
): Promise<void> {
  const { store } = deployment;
  const sound = store.get(key);
  const odd = drawOdd(random, mayChange ? sound : undefined);
  store.put(key, odd);
  await delay(500 + random.below(3_000));
  if (store.get(key) === odd) {
    if (sound === undefined) {
      store.remove(key);
    } else {
      store.put(key, sound);
    }
  }
}

/** Odd values that another writer leaves among the records of the store for a while. */
export const oddRecordFaults: Readonly<Record<string, Fault>> = {
  oddEntry: async (context) => {
    const { deployment, random } = context;
    const runner = random.pick(deployment.runners);
    const [key] = deployment.store.keys('servers/').filter(() => random.fraction() < 0.5);
    await replaceRecord(context, key ?? 'servers/odd', true);
    runner.register(deployment.store, 'ready');
  },
  oddJob: (context) => replaceRecord(context, `jobs/odd${context.random.below(1_000)}`),
  oddCancellation: (context) =>
    replaceRecord(context, `jobs/odd${context.random.below(1_000)}/cancel`),
  oddProgress: async (context) => {
    const keys = context.deployment.store.keys('progress/');
    await replaceRecord(context, keys.length === 0 ? 'progress/odd' : context.random.pick(keys));
  },
  oddHolder: async ({ deployment, random }) => {
    deployment.store.put('holder', drawOdd(random, undefined));
    await delay(500 + random.below(3_000));
  },
  oddLearnedState: (context) => replaceRecord(context, 'experience', true),
  oddStrongest: (context) => replaceRecord(context, 'strongest', true),
  oddWave: (context) => replaceRecord(context, `op/wave/${context.random.below(10)}`),
  oddEvacuation: (context) => replaceRecord(context, `op/evacuate/odd${context.random.below(10)}`),
  oddConfiguration: async (context) => {
    await replaceRecord(context, 'op/config');
    context.deployment.configure(['a-key-of-anna']);
  },
};
