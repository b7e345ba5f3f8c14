import { mkdirSync, writeFileSync } from 'node:fs';

const folder = 'bench-results';

/** Keeps a bench's figures as JSON under `bench-results/`, and returns the file's name. */
export function writeResult(name: string, result: unknown): string {
  mkdirSync(folder, { recursive: true });
  const file = `${folder}/${name}.json`;
  writeFileSync(file, `${JSON.stringify(result, undefined, 2)}\n`);
  return file;
}
