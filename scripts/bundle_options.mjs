// Common esbuild options of the bundles that run from the source tree, without
// the entry point and the output file.

export const BUNDLE_OPTIONS = Object.freeze({
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
});
