/**
 * The failures a fake can be told to make.
 */
import {z} from '@lovagepond/core';

/** Paths of the fakes' own controls. */
export const FAKE_PATH = {
  FAULTS: '/fake/faults',
  RESTART: '/fake/restart',
  SILENCE: '/fake/silence',
  STATE: '/fake/state',
} as const;

const count = z.number().int().min(0);

/** Schema of the faults, as a scenario sends them over HTTP. */
export const fakeFaultsSchema = z.strictObject({
  /** The engine ends and starts anew after this many tokens of an answer. */
  dieAfterTokens: count.optional(),
  /** The connection is cut there; the engine still holds the answer. */
  cutAfterTokens: count.optional(),
  /** The answer ends cleanly but early, without its end marker, for good. */
  truncateAfterTokens: count.optional(),
  /** Nothing more is sent after this many tokens; the connection stays. */
  stallAfterTokens: count.optional(),
  /** An answer's events carry another request's id and text. */
  crossAnswers: z.boolean().optional(),
  /** Answers leave late by this much; a cancellation doesn't stop them. */
  answerDelayMs: count.optional(),
  /** How many requests the faults above hit; all when left out. */
  requests: count.optional(),
  /** Each cache event whose sequence is a multiple of this is lost. */
  dropCacheEventEvery: count.optional(),
  /** Cache events come later by this much. */
  cacheEventLagMs: count.optional(),
  /** The load report is at least this old. */
  loadLagMs: count.optional(),
  /** Orders are obeyed whatever their fencing token. */
  ignoreFencing: z.boolean().optional(),
  /** New requests are refused with 503. */
  refuse: z.boolean().optional(),
});

/** Faults in force; those left out don't occur. */
export type FakeFaults = Readonly<z.infer<typeof fakeFaultsSchema>>;
