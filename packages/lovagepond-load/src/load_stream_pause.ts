/**
 * Estimates how many streams of an engine a prompt makes late.
 *
 * An engine computes prompts between the steps of its running streams. While it
 * has much to compute, its streams pause; one that pauses for longer than its
 * target is late, however early its first token was. Addresses the load "long
 * prompts beside many running streams".
 */

/**
 * Prefill time, as a part of the target for pauses, below which no stream
 * pauses for too long. Prompts are computed in chunks, so part of the time goes
 * to the streams; and the estimated prefill rate may be too high.
 */
const HARMLESS_PART = 0.2;

/** Prefill time, as a part of the target, at which all streams are late. */
const CERTAIN_PART = 1.8;

/** The prefill at an engine, and the streams beside it. */
export interface PauseInputs {
  /** Streams that are running at the engine. */
  readonly runningStreams: number;
  /** Prefill that the engine already has to do, milliseconds. */
  readonly pendingMs: number;
  /** Prefill of the new prompt, milliseconds. */
  readonly prefillMs: number;
  /** Longest pause between events with which a stream is in target, ms. */
  readonly targetGapMs: number;
}

/**
 * @param inputs the engine's prefill and streams
 * @returns the expected number of running streams that are late because of the
 *     new prompt
 */
export function pausedStreams({
  runningStreams,
  pendingMs,
  prefillMs,
  targetGapMs,
}: PauseInputs): number {
  if (!(targetGapMs > 0) || !(prefillMs > 0) || !(runningStreams > 0)) return 0;
  const before = lateShare(pendingMs / targetGapMs);
  const after = lateShare((pendingMs + prefillMs) / targetGapMs);
  return runningStreams * (after - before);
}

function lateShare(prefillPart: number): number {
  const share = (prefillPart - HARMLESS_PART) / (CERTAIN_PART - HARMLESS_PART);
  return Math.min(1, Math.max(0, share));
}
