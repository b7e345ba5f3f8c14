// Bundles the program that runs on the platform into target/apricothoist.mjs, directly from the
// TypeScript sources of the workspace.
import { readdirSync } from 'node:fs';
import process from 'node:process';

import { build } from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map((name) => [`@apricothoist/${name}`, `./packages/${name}/src/index.ts`]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/apricothoist.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  alias,
  // Some dependencies are CommonJS and load Node's built-in modules with `require`.
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
  // Optional native add-ons of dependencies, which are not built here.
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  logLevel: 'warning',
}).catch(() => {
  process.exitCode = 1;
});
