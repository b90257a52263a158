/**
 * The HTTP protocol of model engines: paths, headers and message schemas. See
 * docs/PROTOCOLS.md.
 */
import {z} from '@lovagepond/core';

/** Paths of an engine other than those of the completion requests. */
export const ENGINE_PATH = {
  /** `DELETE` with the request id appended cancels the request. */
  REQUESTS: '/v1/requests/',
  /** `GET` exports, `PUT` imports a chat's KV cache. */
  CACHE: '/v1/cache',
  CACHE_EVENTS: '/v1/cache/events',
  LOAD: '/v1/load',
  ORDERS: '/v1/orders',
} as const;

/** Lower-case header names. */
export const ENGINE_HEADER = {
  REQUEST_ID: 'x-request-id',
  PRIORITY: 'x-lovagepond-priority',
  WORKSPACE: 'x-lovagepond-workspace',
  CHAT: 'x-lovagepond-chat',
  /** Number of bytes of the answer's events that were already delivered. */
  RESUME_FROM: 'x-lovagepond-resume-from',
  /** Context length of an exported or imported KV cache, tokens. */
  CACHE_TOKENS: 'x-lovagepond-cache-tokens',
  /** `1` in every response of a server that is about to exit. */
  LEAVING: 'x-lovagepond-leaving',
} as const;

/** Data of the event that marks the end of an answer. */
export const DONE_DATA = '[DONE]';

/** Prefix that some servers add to the request id. */
export const COMPLETION_ID_PREFIX = 'chatcmpl-';

const count = z.number().int().min(0);

/** Token counts, in the first event and in the last. */
export const usageSchema = z.object({
  prompt_tokens: count.default(0),
  completion_tokens: count.default(0),
  prompt_tokens_details: z.object({cached_tokens: count.default(0)}).nullish(),
});

/** An engine's load report; `age_ms` is its age, milliseconds. */
export const loadSchema = z.object({
  incarnation: z.string(),
  running_tokens: count,
  waiting_tokens: count,
  running_requests: count,
  capacity_tokens: count,
  cached_tokens: count,
  age_ms: z.number().min(0),
  models: z.array(z.string()).max(1_000),
});

/**
 * A cache event. `sequence` increases by one per event within an incarnation. A
 * `position` event changes nothing; it repeats the sequence number of the last
 * event, so that its loss is detected.
 */
export const cacheEventSchema = z.object({
  incarnation: z.string(),
  sequence: count,
  kind: z.enum(['stored', 'evicted', 'position']),
  workspace: z.string().default(''),
  chat: z.string().default(''),
  tokens: count.default(0),
});

export const orderOutcomeSchema = z.object({
  outcome: z.enum(['done', 'failed', 'fenced']),
  message: z.string().default(''),
});

/** An order in the body of a POST request. */
export const orderSchema = z.object({
  order_id: z.string(),
  fencing_token: count,
  action: z.enum(['loadModel', 'unloadModel', 'changeRole']),
  arguments: z.record(z.string(), z.string()).default({}),
});

/** A cache event as an engine sends it. */
export type EngineCacheEvent = z.infer<typeof cacheEventSchema>;
