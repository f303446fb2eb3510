import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'scripts/__tests__/**/*.test.mjs',
      'platform/src/**/__tests__/**/*.test.ts',
      'packages/*/src/**/__tests__/**/*.test.ts',
    ],
    globalSetup: ['platform/src/__fixtures__/buildProgram.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    pool: 'forks',
  },
});
