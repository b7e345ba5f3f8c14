import type { ListedRunner } from './ListedRunner.js';

const properties = [
  'processStartedAt',
  'address',
  'service',
  'dataCentre',
  'labels',
  'capacity',
] as const satisfies (keyof ListedRunner)[];

/** Log fields of an entry that differs from what is known of its runner. */
export function describeContradiction(
  known: ListedRunner,
  entry: ListedRunner,
): Readonly<Record<string, string | number | undefined>> {
  const differing = properties.filter(
    (property) => JSON.stringify(known[property]) !== JSON.stringify(entry[property]),
  );
  return {
    runner: known.id,
    revision: entry.revision,
    fields: differing.join(','),
    startedAt: known.processStartedAt,
    entryStartedAt: entry.processStartedAt,
    address: known.address,
    entryAddress: entry.address,
  };
}
