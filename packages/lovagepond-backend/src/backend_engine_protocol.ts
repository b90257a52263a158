/**
 * The HTTP protocol towards model engines: paths, headers and the shapes of
 * what an engine tells. See docs/PROTOCOLS.md.
 */
import {z} from '@lovagepond/core';

/** Paths of an engine besides those of the requests themselves. */
export const ENGINE_PATH = {
  /** `DELETE` with the request id behind it cancels. */
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
  /** Bytes of the answer's events that were already delivered. */
  RESUME_FROM: 'x-lovagepond-resume-from',
  /** Context length of an exported or imported KV cache. */
  CACHE_TOKENS: 'x-lovagepond-cache-tokens',
} as const;

/** Ends an answer's events. */
export const DONE_DATA = '[DONE]';

/** Some servers put this in front of the request id. */
export const COMPLETION_ID_PREFIX = 'chatcmpl-';

const count = z.number().int().min(0);

/** Token counts, in the first event and in the last. */
export const usageSchema = z.object({
  prompt_tokens: count.default(0),
  completion_tokens: count.default(0),
  prompt_tokens_details: z.object({cached_tokens: count.default(0)}).nullish(),
});

/** An engine's load report; `age_ms` says how old it is. */
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
 * A cache event; `sequence` rises by one within an incarnation. A `position`
 * changes nothing and tells the sequence number of the last event sent.
 */
export const cacheEventSchema = z.object({
  incarnation: z.string(),
  sequence: count,
  kind: z.enum(['stored', 'evicted', 'position']),
  workspace: z.string().default(''),
  chat: z.string().default(''),
  tokens: count.default(0),
});

/** The outcome of an order. */
export const orderOutcomeSchema = z.object({
  outcome: z.enum(['done', 'failed', 'fenced']),
  message: z.string().default(''),
});

/** An order as it is posted. */
export const orderSchema = z.object({
  order_id: z.string(),
  fencing_token: count,
  action: z.enum(['loadModel', 'unloadModel', 'changeRole']),
  arguments: z.record(z.string(), z.string()).default({}),
});

/** A cache event as an engine wrote it. */
export type EngineCacheEvent = z.infer<typeof cacheEventSchema>;
