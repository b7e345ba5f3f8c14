import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Packages that each package may import; imports point downward only. */
const allowedImports = {
  common: [],
  config: ['common'],
  platform: ['common'],
  mesh: ['common'],
  router: ['common', 'config'],
  scheduler: ['common', 'config'],
  telemetry: ['common'],
  dispatch: ['common'],
  instance: ['common', 'dispatch', 'telemetry'],
  daemon: ['common', 'config', 'platform', 'mesh', 'router', 'scheduler', 'telemetry'],
  cli: ['common', 'config'],
  testing: ['common', 'platform', 'dispatch'],
  demo: ['common', 'config', 'platform', 'testing', 'examples'],
  bench: [
    'common',
    'config',
    'platform',
    'mesh',
    'router',
    'scheduler',
    'examples',
    'testing',
    'demo',
    'dispatch',
  ],
  soak: ['common', 'testing'],
  faults: ['common', 'config', 'platform', 'mesh', 'router', 'scheduler', 'daemon', 'testing'],
};
const packageNames = [...Object.keys(allowedImports), 'examples'];

const importDirections = Object.entries(allowedImports).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ['**/*.test.ts', 'packages/*/src/testing/**'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: packageNames
          .filter((other) => other !== name && !allowed.includes(other))
          .map((other) => ({
            group: [`@apricothoist/${other}`, `@apricothoist/${other}/*`],
            message: `package "${name}" must not import "${other}"`,
          })),
      },
    ],
  },
}));

/** Names of the users' platform; only `platform/` may know them. */
const wireNames =
  '/^(fencingToken|ackCursor|storeRevision|phases|antiAffinity|sameRack|apiKeys|targetLatencyMs|' +
  'memMb|gpus|speculative|clockMs|deadlineMs)$|^\\/?(kv-|run-start|run-stop|hold$|servers\\/|op\\/)/';
const wireMessage = 'a name of the platform; decode it in platform/';
const wireNamesOnlyInAdapter = {
  files: ['packages/{dispatch,instance,telemetry,testing}/src/**/*.ts'],
  rules: {
    'no-restricted-syntax': [
      'error',
      { selector: `Identifier[name=${wireNames}]`, message: wireMessage },
      { selector: `Literal[value=${wireNames}]`, message: wireMessage },
    ],
  },
};

/** Files whose job is to print, to wait in turn, or to spawn, by their nature. */
const programs = [
  'packages/demo/**',
  'packages/bench/**',
  'packages/faults/**',
  'packages/soak/**',
  'examples/**',
];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'bench-results/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports' }],
      '@typescript-eslint/no-import-type-side-effects': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      'import-x/no-duplicates': ['error', { 'prefer-inline': false }],
    },
  },
  {
    // Where the brief or the language version differ from the guide; CONTRIBUTING.md gives the
    // reasons.
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'LabeledStatement', message: 'Use a function.' },
        { selector: 'WithStatement', message: 'Not in strict mode.' },
        { selector: 'TSEnumDeclaration', message: 'Use a constant object.' },
      ],
      'no-param-reassign': ['error', { props: false }],
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      'class-methods-use-this': 'off',
      'no-underscore-dangle': 'off',
      'no-void': 'off',
      'max-classes-per-file': 'off',
    },
  },
  {
    // Layout is Prettier's.
    rules: {
      '@stylistic/max-len': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/arrow-parens': 'off',
      '@stylistic/wrap-iife': 'off',
      '@stylistic/brace-style': 'off',
      '@stylistic/lines-between-class-members': 'off',
      '@stylistic/nonblock-statement-body-position': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/spaced-comment': 'off',
      '@stylistic/quote-props': 'off',
      '@stylistic/comma-dangle': 'off',
    },
  },
  ...importDirections,
  wireNamesOnlyInAdapter,
  { files: programs, rules: { 'no-console': 'off' } },
];
