import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['platform/src/**/__tests__/**/*.test.ts', 'packages/*/src/**/__tests__/**/*.test.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    pool: 'forks',
  },
});
