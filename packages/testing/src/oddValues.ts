import fc from 'fast-check';

type Path = readonly (string | number)[];

/** Replaced by a deeply nested value, which cannot be built as an object. */
const nestedMark = 'a deeply nested value';
const depth = 200_000;
const nested = '['.repeat(depth) + ']'.repeat(depth);

/** Values that a field may have if another writer has left it. */
const oddValues: readonly unknown[] = [
  undefined,
  null,
  true,
  '',
  'x',
  'x'.repeat(10_001),
  '127.0.0.1:99999',
  [],
  {},
  [[null]],
  0,
  -1,
  0.5,
  2 ** 53,
  Number.MAX_SAFE_INTEGER,
  1e308,
  nestedMark,
];

function pathsOf(value: unknown): readonly Path[] {
  const entries = typeof value === 'object' && value !== null ? Object.entries(value) : [];
  return [[], ...entries.flatMap(([key, child]) => pathsOf(child).map((path) => [key, ...path]))];
}

function replaceAt(value: unknown, [key, ...rest]: Path, odd: unknown): unknown {
  if (key === undefined) {
    return odd;
  }
  const child = replaceAt((value as Record<string, unknown>)[key], rest, odd);
  return Array.isArray(value)
    ? value.map((each: unknown, index) => (index === Number(key) ? child : each))
    : { ...(value as object), [key]: child };
}

/** JSON texts that differ from a sound value in up to three fields, or are no JSON at all. */
export function oddTexts(sound: unknown): fc.Arbitrary<string> {
  const change = fc.record({ at: fc.nat(), odd: fc.constantFrom(...oddValues) });
  const changed = fc.array(change, { minLength: 1, maxLength: 3 }).map((changes) => {
    const value = changes.reduce((current, { at, odd }) => {
      const paths = pathsOf(current);
      return replaceAt(current, paths[at % paths.length] ?? [], odd);
    }, sound);
    const text = JSON.stringify(value) as string | undefined;
    return (text ?? '').replaceAll(JSON.stringify(nestedMark), nested);
  });
  return fc.oneof(
    { weight: 8, arbitrary: changed },
    { weight: 1, arbitrary: fc.json() },
    { weight: 1, arbitrary: fc.string() },
  );
}
