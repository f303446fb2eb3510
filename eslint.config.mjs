// Airbnb rules (eslint-config-airbnb-extended, flat config) with
// typescript-eslint; Prettier owns layout, so the stylistic rules that would
// fight it are turned off by eslint-config-prettier at the end.
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import tseslint from 'typescript-eslint';

const packageDirs = [
  import.meta.dirname,
  ...readdirSync(new URL('./packages', import.meta.url)).map((name) =>
    join(import.meta.dirname, 'packages', name),
  ),
];

export default tseslint.config(
  {
    ignores: [
      'node_modules/**',
      'dist/**',
      'target/**',
      'journal/**',
      '**/__snapshots__/**',
      'bench-results/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    settings: { node: { version: '>=20.19.0' } },
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: [
            '*.mjs',
            'scripts/*.mjs',
            'scripts/__tests__/*.mjs',
            'platform/src/__fixtures__/*.mjs',
          ],
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // Type-only imports stay apart from value imports (house style).
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { prefer: 'type-imports', fixStyle: 'separate-type-imports' },
      ],
      // Packages re-export named APIs; a default export would hide the name.
      'import-x/prefer-default-export': 'off',
      // Workspace packages resolve through npm workspaces to TypeScript sources.
      'import-x/no-extraneous-dependencies': [
        'error',
        {
          packageDir: packageDirs,
          devDependencies: [
            '**/__tests__/**',
            '**/__fixtures__/**',
            'vitest.config.ts',
            'eslint.config.mjs',
            'scripts/**',
            'packages/bench/**',
          ],
        },
      ],
      // Loops over awaited steps are how retries and drains are written.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-plusplus': 'off',
      'class-methods-use-this': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'no-console': 'off',
      'max-classes-per-file': 'off',
      // Steering views and http messages are updated in place by design.
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: ['target', 'res', 'req', 'known', 'faults', 'model'],
        },
      ],
    },
  },
  {
    // One-shot scripts, config and the launcher run once at start; blocking reads are fine there.
    files: ['*.mjs', 'scripts/**', '**/__tests__/**', 'packages/bench/**', 'packages/launcher/**'],
    rules: { 'n/no-sync': 'off' },
  },
  {
    // Node loads scripts as they are, and wants a module's whole name.
    files: ['scripts/**'],
    rules: { 'import-x/extensions': 'off' },
  },
  prettier,
);
