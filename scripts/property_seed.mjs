// Seeds the property tests that name no seed of their own, so that every run of
// the tests gives the same verdict. PROPERTY_SEED and PROPERTY_RUNS replace the
// seed and the number of runs; scripts/test_properties.mjs sets them.
import fc from 'fast-check';

const FIXED_SEED = 1_230_595_982;

const {PROPERTY_SEED, PROPERTY_RUNS} = process.env;

fc.configureGlobal({
  seed: PROPERTY_SEED ? Number(PROPERTY_SEED) : FIXED_SEED,
  ...(PROPERTY_RUNS && {numRuns: Number(PROPERTY_RUNS)}),
});
