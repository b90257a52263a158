import {defineConfig} from 'vitest/config';

// Each of these tests measures one process, so they run one at a time.
export default defineConfig({
  test: {
    include: ['platform/src/__tests__/crowd/*.test.ts'],
    pool: 'forks',
    fileParallelism: false,
    testTimeout: 120_000,
    hookTimeout: 60_000,
  },
});
