// Scenarios run in one process and in the order of their files, so that each
// run gives the same verdict.
export default {
  paths: ['packages/lovagepond-scenarios/features/*.feature'],
  require: ['dist/scenarios.cjs'],
  publish: false,
  strict: true,
};
