// How the bundles that run from the source tree are made.

/** Options for esbuild, beside the entry point and the file to write. */
export const BUNDLE_OPTIONS = Object.freeze({
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
});
