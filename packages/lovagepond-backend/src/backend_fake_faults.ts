/**
 * Fault injection for fake engines.
 */
import {z} from '@lovagepond/core';

/** Control paths of the fakes. */
export const FAKE_PATH = {
  FAULTS: '/fake/faults',
  RESTART: '/fake/restart',
  SILENCE: '/fake/silence',
  STATE: '/fake/state',
} as const;

const count = z.number().int().min(0);

/** Schema of the faults in the body of a control request. */
export const fakeFaultsSchema = z.strictObject({
  /** The engine restarts after this many tokens of an answer. */
  dieAfterTokens: count.optional(),
  /** The connection is cut after this many; the answer can be resumed. */
  cutAfterTokens: count.optional(),
  /**
   * The answer ends cleanly but without its end marker; it can't be resumed.
   */
  truncateAfterTokens: count.optional(),
  /** After this many tokens nothing is sent; the connection stays open. */
  stallAfterTokens: count.optional(),
  /** The events contain another request's id and text. */
  crossAnswers: z.boolean().optional(),
  /** Answers are delayed by this, and a cancellation doesn't stop them. */
  answerDelayMs: count.optional(),
  /** Number of requests affected by the faults above; default is all. */
  requests: count.optional(),
  /** Cache events whose sequence number is a multiple of this are lost. */
  dropCacheEventEvery: count.optional(),
  /** Additional delay of cache events. */
  cacheEventLagMs: count.optional(),
  /** Minimum age of the load report. */
  loadLagMs: count.optional(),
  /** Orders are executed without a check of their fencing token. */
  ignoreFencing: z.boolean().optional(),
  /** New requests are rejected with 503. */
  refuse: z.boolean().optional(),
});

/** Active faults; omitted ones don't occur. */
export type FakeFaults = Readonly<z.infer<typeof fakeFaultsSchema>>;
