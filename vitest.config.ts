import {defineConfig} from 'vitest/config';

// Forks isolate the native handles of test files from each other on Node 20.
export default defineConfig({
  test: {
    include: [
      'packages/*/src/__tests__/**/*.test.ts',
      'platform/src/__tests__/{unit,e2e}/**/*.test.ts',
    ],
    pool: 'forks',
    poolOptions: {forks: {maxForks: 4}},
    testTimeout: 30_000,
    hookTimeout: 60_000,
    setupFiles: ['scripts/property_seed.mjs', 'scripts/event_loop_turn.mjs'],
  },
});
