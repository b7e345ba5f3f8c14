import { mkdirSync, writeFileSync } from 'node:fs';

const resultFolder = 'bench-results';

/** Writes the results of a benchmark to `bench-results/NAME.json` and returns the path. */
export function writeResult(name: string, result: unknown): string {
  mkdirSync(resultFolder, { recursive: true });
  const path = `${resultFolder}/${name}.json`;
  writeFileSync(path, `${JSON.stringify(result, undefined, 2)}\n`);
  return path;
}
