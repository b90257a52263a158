/**
 * The operators' configuration: pools, selectors and workspaces.
 *
 * A configuration is immutable once accepted; each accepted change creates the
 * next revision.
 */
import {z} from './core_schema.js';
import {type Labels, parseLabelExpression} from './core_labels.js';
import {packText, unpackText} from './core_packing.js';

/** Kind of a pool's backend servers. */
export const POOL_KIND = {ENGINE: 'engine', SERVICE: 'service'} as const;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/);

const labelExpression = z.string().superRefine((text, context) => {
  const parsed = parseLabelExpression(text);
  if (!parsed.ok) context.addIssue({code: 'custom', message: parsed.message});
});

const pool = z.strictObject({
  name,
  kind: z.enum(['engine', 'service']),
  labels: z.record(z.string(), z.string()).default({}),
  /** Upper bound of a server's load, as a multiple of the pool's mean load. */
  loadBound: z.number().min(1.05).max(16).default(1.5),
  /** Placement weight: 0 considers only load skew, 1 only cache reuse. */
  reuseWeight: z.number().min(0).max(1).default(0.5),
  /** Longest time that a request waits in a sidecar's queue, milliseconds. */
  maxHoldMs: z.number().int().min(0).max(600_000).default(8_000),
  /** Prompt tokens per second that a server processes for a cold context. */
  prefillTokensPerSecond: z.number().positive().default(8_000),
  /** Answer tokens per second that one server generates over all streams. */
  decodeTokensPerSecond: z.number().positive().default(2_400),
  /** Health check path of servers without a sidecar. */
  healthPath: z.string().startsWith('/').optional(),
  /** Connections that one server accepts from all routers together. */
  connectionLimit: z.number().int().positive().optional(),
  /** Requests that one engine batches; further ones wait in its queue. */
  engineSlots: z.number().int().positive().optional(),
  /** Capacity of one engine's context memory, tokens. */
  contextTokens: z.number().int().positive().optional(),
  /**
   * Context tokens per millisecond that a server fetches from another server
   * of the pool; absent where servers can't fetch contexts.
   */
  contextFetchTokensPerMs: z.number().positive().optional(),
  /** Limits on servers without a sidecar that have just started. */
  warmUp: z
    .strictObject({
      /** Time after its start for which a server is warming up, ms. */
      durationMs: z.number().positive(),
      /** Requests that it may get in any one second, from all routers. */
      maxRequestsPerSecond: z.number().int().positive(),
    })
    .optional(),
  /**
   * Admission control of requests that gateways send to servers without a
   * sidecar; absent where gateways forward all requests at once.
   */
  admission: z
    .strictObject({
      /** Requests that one gateway queues. */
      maxQueuedRequests: z.number().int().min(1).max(100_000).default(1_024),
      /** Bytes of requests that one gateway queues. */
      maxQueuedBytes: z
        .number()
        .int()
        .min(65_536)
        .default(16 * 1024 * 1024),
      /** Part of a request's slack that it may wait in a server's own queue. */
      serverQueuePart: z.number().min(0.05).max(0.9).default(0.4),
      /** Part of the dispatches kept for lower priorities under overload. */
      lowerPriorityPart: z.number().min(0).max(0.5).default(0.1),
    })
    .optional(),
});

/** Regions in which requests may run; absent for all regions. */
const allowedRegions = z.array(z.string().min(1)).min(1).optional();

/** Forwarded requests that a selector matches; the longest prefix wins. */
const requestMatch = z.strictObject({
  host: z.string().min(1),
  /** Starts and ends with a slash. */
  pathPrefix: z.string().startsWith('/').endsWith('/'),
});

const poolWeight = z.strictObject({
  pool: name,
  weight: z.number().min(0),
});

const selector = z.strictObject({
  name,
  /** Workspace names, or `*`. */
  workspaces: z.array(z.string()).min(1),
  /** Request kinds, or `*`. */
  requestKinds: z.array(z.string()).min(1),
  /** Prefixes of chat names; the empty list means any chat. */
  chatPrefixes: z.array(z.string()).default([]),
  /** Label expression for the eligible pools. */
  pools: labelExpression,
  /** Label expression for the eligible backend servers of those pools. */
  backendServers: labelExpression.default(''),
  /** Selectors are tried in descending priority; the first match decides. */
  priority: z.number().int().default(0),
  /** Set on selectors of forwarded requests; the others serve chats. */
  match: requestMatch.optional(),
  /** Weights by which forwarded requests are distributed over the pools. */
  poolWeights: z.array(poolWeight).optional(),
  /** True when forwarded requests need no API key. */
  public: z.boolean().optional(),
  allowedRegions,
});

const workspace = z.strictObject({
  name,
  /** Weight in the fair queue, relative to the other workspaces. */
  weight: z.number().positive().default(1),
  /** Priority of the workspace's requests, 0 (lowest) to 9. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Limit of outstanding tokens at one sidecar; 0 means no limit. */
  maxQueuedTokens: z.number().int().min(0).default(0),
  /** API keys that identify the workspace in forwarded requests. */
  apiKeys: z.array(z.string().min(1)).optional(),
  /** Overrides the request kind's priority, 0 (lowest) to 9. */
  requestPriority: z.number().int().min(0).max(9).optional(),
  allowedRegions,
});

const requestKind = z.strictObject({
  name,
  /** The call must not run twice and needs an idempotency key. */
  nonRepeatable: z.boolean().default(false),
  /** Settings of forwarded requests of this kind. */
  forwarding: z
    .strictObject({
      /** Request timeout, milliseconds. */
      timeoutMs: z.number().int().positive(),
      /** Target time until the answer (streams: its first event), ms. */
      targetLatencyMs: z.number().positive(),
      /** Backend servers that one request may be sent to, one by one. */
      maxAttempts: z.number().int().positive(),
      /** 0 (lowest) to 9. */
      priority: z.number().int().min(0).max(9),
      /** True when the answer is a stream of numbered events. */
      streaming: z.boolean(),
      /** True when a broken stream may be resumed at another server. */
      resumable: z.boolean(),
      /** True when requests are placed by the prompt parts that they name. */
      sticky: z.boolean(),
      /** Target for the longest pause between events, milliseconds. */
      targetGapMs: z.number().positive().optional(),
    })
    .optional(),
});

const callerLimits = z.strictObject({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  /** Time limit for receiving a request's headers, milliseconds. */
  headerTimeoutMs: z.number().int().positive(),
  /** Keep-alive time of a connection between requests, milliseconds. */
  idleTimeoutMs: z.number().int().positive(),
});

/** Schema of a configuration's content, without its revision. */
export const configurationSchema = z.strictObject({
  pools: z.array(pool).default([]),
  selectors: z.array(selector).default([]),
  workspaces: z.array(workspace).default([]),
  requestKinds: z.array(requestKind).default([]),
  /** Limits on callers of forwarded requests. */
  callerLimits: callerLimits.optional(),
  /** Version number of this configuration in the operators' own system. */
  documentVersion: z.number().int().min(0).optional(),
  /**
   * Whether forwarded requests need an API key, but for public selectors. See
   * {@link needsApiKeys} for its absence.
   */
  requiresApiKeys: z.boolean().optional(),
});

/** A group of interchangeable backend servers, with their load bound. */
export type Pool = Readonly<z.infer<typeof pool>>;
/** Limits on servers that have just started. */
export type WarmUpLimits = NonNullable<Pool['warmUp']>;
/** Admission control at gateways. */
export type PoolAdmissionLimits = NonNullable<Pool['admission']>;
/** A rule that maps requests to the backend servers that may run them. */
export type Selector = Readonly<z.infer<typeof selector>>;
/** One customer, with its limits. */
export type Workspace = Readonly<z.infer<typeof workspace>>;
/** A kind of request, and whether a call of this kind may be repeated. */
export type RequestKind = Readonly<z.infer<typeof requestKind>>;
/** Size and time limits for callers of forwarded requests. */
export type CallerLimits = Readonly<z.infer<typeof callerLimits>>;
/** Settings of forwarded requests of one kind. */
export type Forwarding = NonNullable<RequestKind['forwarding']>;
/** A configuration's validated content, without its revision. */
export type ConfigurationContent = Readonly<
  z.infer<typeof configurationSchema>
>;

/** An accepted configuration. Revision 0 is the initial empty one. */
export interface Configuration {
  readonly revision: number;
  readonly content: ConfigurationContent;
}

/** The configuration of a process before it has received any. */
export const EMPTY_CONFIGURATION: Configuration = Object.freeze({
  revision: 0,
  content: configurationSchema.parse({}),
});

/**
 * An absent field fails closed. A configuration of the operators' own system says
 * so if it needs no keys; one that an earlier release has stored doesn't tell an
 * empty list of workspaces from a missing one.
 *
 * @param content a configuration's content
 * @returns true if forwarded requests need an API key, even if there is none
 */
export function needsApiKeys(content: ConfigurationContent): boolean {
  const {requiresApiKeys, documentVersion, workspaces} = content;
  if (requiresApiKeys !== undefined) return requiresApiKeys;
  return (
    documentVersion !== undefined || workspaces.some(({apiKeys}) => apiKeys)
  );
}

/**
 * @param configuration an accepted configuration
 * @returns the configuration as JSON in UTF-8, compressed by gzip when it is
 *     large, since the whole configuration is pushed to every process
 */
export function encodeConfiguration(configuration: Configuration): Uint8Array {
  return packText(JSON.stringify(configuration));
}

/**
 * @param bytes the result of {@link encodeConfiguration}, perhaps of another
 *     version of the program
 * @returns the configuration, or undefined when the bytes can't be decoded
 */
export function decodeConfiguration(
  bytes: Uint8Array,
): Configuration | undefined {
  const parsed = z
    .object({revision: z.number().int().min(0), content: configurationSchema})
    .safeParse(parseJson(bytes));
  return parsed.success ? Object.freeze(parsed.data) : undefined;
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(unpackText(bytes));
  } catch {
    return undefined;
  }
}

/**
 * @param labels the pool's configured labels
 * @param poolName the pool's name, which becomes the label `pool`
 * @returns the labels that a selector's pool expression is matched against
 */
export function labelsOfPool(labels: Labels, poolName: string): Labels {
  return {...labels, pool: poolName};
}
