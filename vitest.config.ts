import {defineConfig} from 'vitest/config';

// Node 20: forks keep native handles of one test file out of the next.
export default defineConfig({
  test: {
    include: [
      'packages/*/src/__tests__/**/*.test.ts',
      'platform/src/__tests__/**/*.test.ts',
    ],
    pool: 'forks',
    poolOptions: {forks: {maxForks: 4}},
    testTimeout: 30_000,
  },
});
