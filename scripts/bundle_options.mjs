// Default esbuild options for the bundles of the scenarios, the measurements and
// the platform's program. Each build adds its entry points and output file.

export const BUNDLE_OPTIONS = Object.freeze({
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
});
