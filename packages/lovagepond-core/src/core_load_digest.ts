/**
 * The load digest: one byte of load for each backend server, so that the load
 * of 640 servers takes 640 bytes.
 *
 * The scale is logarithmic, from 64 tokens to about 64 million. A step is about
 * 5.7%, which is finer than the error caused by the delay of an engine's own
 * load report.
 */

const SMALLEST_TOKENS = 64;
const STEPS_PER_DOUBLING = 12.5;
const MAX_CODE = 255;

/**
 * @param tokens outstanding work, in tokens
 * @returns a code from 0 to 255
 */
export function encodeLoad(tokens: number): number {
  if (tokens < SMALLEST_TOKENS / 2) return 0;
  const steps = Math.log2(tokens / SMALLEST_TOKENS) * STEPS_PER_DOUBLING;
  return Math.min(MAX_CODE, Math.max(1, Math.round(steps) + 1));
}

const DECODED = Float64Array.from({length: MAX_CODE + 1}, (_, code) =>
  code === 0 ? 0 : SMALLEST_TOKENS * 2 ** ((code - 1) / STEPS_PER_DOUBLING),
);

/**
 * @param code the result of {@link encodeLoad}
 * @returns outstanding work in tokens, within one step of the encoded value
 */
export function decodeLoad(code: number): number {
  return DECODED[code] ?? 0;
}
