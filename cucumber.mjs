// Scenarios run in one process and in the order of their files, so that each
// run has the same result.
export default {
  paths: ['packages/lovagepond-scenarios/features/*.feature'],
  require: ['dist/scenarios.cjs'],
  publish: false,
  strict: true,
};
