/**
 * The operators' configuration: pools, selectors and workspaces.
 *
 * Immutable once accepted; each accepted change makes the next revision.
 */
import {z} from './core_schema.js';
import {type Labels, parseLabelExpression} from './core_labels.js';
import {packText, unpackText} from './core_packing.js';

/** What a pool's backend servers are. */
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
  /** No server is loaded beyond this multiple of the pool's mean load. */
  loadBound: z.number().min(1.05).max(16).default(1.5),
  /** 0 weighs only skew, 1 weighs only cache reuse. */
  reuseWeight: z.number().min(0).max(1).default(0.5),
  /** Longest time a request is held in a sidecar's queue, milliseconds. */
  maxHoldMs: z.number().int().min(0).max(600_000).default(8_000),
  /** Prompt tokens a second a server rebuilds when a context is cold. */
  prefillTokensPerSecond: z.number().positive().default(8_000),
  /** Answer tokens a second one server generates over all of its streams. */
  decodeTokensPerSecond: z.number().positive().default(2_400),
  /** Path of the health check of servers that are reached directly. */
  healthPath: z.string().startsWith('/').optional(),
  /** Connections that one server accepts from all routers together. */
  connectionLimit: z.number().int().positive().optional(),
  /** Requests that one engine batches; later ones wait in its queue. */
  engineSlots: z.number().int().positive().optional(),
  /** Tokens that one engine's context memory holds. */
  contextTokens: z.number().int().positive().optional(),
  /**
   * Context tokens that a server takes over from another server of the pool
   * in a millisecond; absent where servers can't.
   */
  contextFetchTokensPerMs: z.number().positive().optional(),
});

/** Which forwarded requests a selector takes: the longest prefix decides. */
const requestMatch = z.strictObject({
  host: z.string().min(1),
  /** Begins and ends with a slash. */
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
  /** Which pools, by their labels. */
  pools: labelExpression,
  /** Which backend servers of those pools, by their labels. */
  backendServers: labelExpression.default(''),
  /** A higher number is tried first; the first match decides. */
  priority: z.number().int().default(0),
  /** Set on selectors of forwarded requests; the others serve chats. */
  match: requestMatch.optional(),
  /** Shares of the pools that forwarded requests are spread over. */
  poolWeights: z.array(poolWeight).optional(),
  /** Forwarded requests need no API key. */
  public: z.boolean().optional(),
});

const workspace = z.strictObject({
  name,
  /** Share in the fair queue against the other workspaces. */
  weight: z.number().positive().default(1),
  /** Priority of its requests, 0 (lowest) to 9. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Upper bound of outstanding tokens at one sidecar; 0 means none. */
  maxQueuedTokens: z.number().int().min(0).default(0),
  /** Keys that callers of forwarded requests name the workspace by. */
  apiKeys: z.array(z.string().min(1)).optional(),
  /** Takes the place of the request kind's priority, 0 (lowest) to 9. */
  requestPriority: z.number().int().min(0).max(9).optional(),
});

const requestKind = z.strictObject({
  name,
  /** The call must never run twice; it needs an idempotency key. */
  nonRepeatable: z.boolean().default(false),
  /** Facts of forwarded requests of this kind. */
  forwarding: z
    .strictObject({
      /** Longest time that a caller is kept waiting, milliseconds. */
      timeoutMs: z.number().int().positive(),
      /** Answered (streams: begun) within it a request is on time, ms. */
      targetLatencyMs: z.number().positive(),
      /** Backend servers that one request may be given to. */
      maxAttempts: z.number().int().positive(),
      /** 0 (lowest) to 9. */
      priority: z.number().int().min(0).max(9),
      /** The answer is a stream of numbered events. */
      streaming: z.boolean(),
      /** A broken stream may be continued at another server. */
      resumable: z.boolean(),
      /** Requests name the parts of their prompt and are placed by them. */
      sticky: z.boolean(),
      /** Longest pause between events that is on time, milliseconds. */
      targetGapMs: z.number().positive().optional(),
    })
    .optional(),
});

const callerLimits = z.strictObject({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  /** Time a caller has to send a request's head, milliseconds. */
  headerTimeoutMs: z.number().int().positive(),
  /** Time a connection may be idle between requests, milliseconds. */
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
  /** The number that the operators' own system gave this configuration. */
  documentVersion: z.number().int().min(0).optional(),
});

/** Backend servers that can stand in for each other, with their load bound. */
export type Pool = Readonly<z.infer<typeof pool>>;
/** A rule: which requests may go to which backend servers. */
export type Selector = Readonly<z.infer<typeof selector>>;
/** One customer, with the limits that it is held to. */
export type Workspace = Readonly<z.infer<typeof workspace>>;
/** A kind of requests, and whether a call of it may be repeated. */
export type RequestKind = Readonly<z.infer<typeof requestKind>>;
/** What callers of forwarded requests may send, and how slowly. */
export type CallerLimits = Readonly<z.infer<typeof callerLimits>>;
/** What a forwarded request of one kind needs. */
export type Forwarding = NonNullable<RequestKind['forwarding']>;
/** All that operators configure, checked, without its revision. */
export type ConfigurationContent = Readonly<
  z.infer<typeof configurationSchema>
>;

/** An accepted configuration. Revision 0 is the empty one before any change. */
export interface Configuration {
  readonly revision: number;
  readonly content: ConfigurationContent;
}

/** A fault in a configuration, named by its place. */
export interface ConfigurationFault {
  /** For example `selectors[2].pools`. */
  readonly place: string;
  readonly message: string;
}

/** A checked configuration, or all of its faults. */
export type ConfigurationCheck =
  | {readonly ok: true; readonly content: ConfigurationContent}
  | {readonly ok: false; readonly faults: readonly ConfigurationFault[]};

/** The configuration of a process that has none yet. */
export const EMPTY_CONFIGURATION: Configuration = Object.freeze({
  revision: 0,
  content: configurationSchema.parse({}),
});

function formatPlace(path: readonly PropertyKey[]): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? String(part) : `.${String(part)}`;
    })
    .join('');
}

function findDuplicateNames(
  section: string,
  items: readonly {readonly name: string}[],
): ConfigurationFault[] {
  const seen = new Set<string>();
  const faults: ConfigurationFault[] = [];
  items.forEach((item, index) => {
    if (seen.has(item.name)) {
      const place = `${section}[${index}].name`;
      faults.push({place, message: `"${item.name}" stands twice`});
    }
    seen.add(item.name);
  });
  return faults;
}

/** Two selectors with one match would make the choice depend on their order. */
function findDuplicateMatches(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const seen = new Set<string>();
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach(({match}, index) => {
    if (!match) return;
    const text = `${match.host.toLowerCase()} ${match.pathPrefix}`;
    if (seen.has(text)) {
      const place = `selectors[${index}].match`;
      faults.push({place, message: `"${text}" stands twice`});
    }
    seen.add(text);
  });
  return faults;
}

function findInvalidWeights(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const pools = new Set(content.pools.map(item => item.name));
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach(({poolWeights}, index) => {
    if (!poolWeights) return;
    const place = `selectors[${index}].poolWeights`;
    for (const {pool} of poolWeights) {
      if (pools.has(pool)) continue;
      faults.push({place, message: `no pool is named "${pool}"`});
    }
    const total = poolWeights.reduce((sum, {weight}) => sum + weight, 0);
    if (total <= 0) faults.push({place, message: 'the weights add up to 0'});
  });
  return faults;
}

/** A key of two workspaces would not tell whose request it is. */
function findSharedApiKeys(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const owners = new Map<string, string>();
  const faults: ConfigurationFault[] = [];
  content.workspaces.forEach(({name: owner, apiKeys}, index) => {
    for (const key of apiKeys ?? []) {
      const other = owners.get(key) ?? owner;
      owners.set(key, owner);
      if (other === owner) continue;
      const place = `workspaces[${index}].apiKeys`;
      faults.push({place, message: `a key is that of "${other}" too`});
    }
  });
  return faults;
}

function findUnknownNames(content: ConfigurationContent): ConfigurationFault[] {
  const known = new Set(content.workspaces.map(item => item.name));
  const kinds = new Set(content.requestKinds.map(item => item.name));
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach((item, index) => {
    for (const wanted of item.workspaces) {
      if (wanted === '*' || known.has(wanted)) continue;
      const place = `selectors[${index}].workspaces`;
      faults.push({place, message: `no workspace is named "${wanted}"`});
    }
    for (const wanted of item.requestKinds) {
      if (wanted === '*' || kinds.has(wanted)) continue;
      const place = `selectors[${index}].requestKinds`;
      faults.push({place, message: `no request kind is named "${wanted}"`});
    }
  });
  return faults;
}

/**
 * Checks a configuration as a whole.
 *
 * @param input parsed JSON from an operator
 * @returns the content with defaults filled in, or every fault by its place
 */
export function checkConfiguration(input: unknown): ConfigurationCheck {
  const parsed = configurationSchema.safeParse(input);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(issue => ({
      place: formatPlace(issue.path),
      message: issue.message,
    }));
    return {ok: false, faults};
  }
  const content = parsed.data;
  const faults = [
    ...findDuplicateNames('pools', content.pools),
    ...findDuplicateNames('selectors', content.selectors),
    ...findDuplicateNames('workspaces', content.workspaces),
    ...findDuplicateNames('requestKinds', content.requestKinds),
    ...findUnknownNames(content),
    ...findDuplicateMatches(content),
    ...findInvalidWeights(content),
    ...findSharedApiKeys(content),
  ];
  return faults.length > 0 ? {ok: false, faults} : {ok: true, content};
}

/**
 * @param configuration an accepted configuration
 * @returns its JSON as UTF-8 bytes, as it travels between processes; packed by
 *     gzip when it is large, as it is pushed whole to every process
 */
export function encodeConfiguration(configuration: Configuration): Uint8Array {
  return packText(JSON.stringify(configuration));
}

/**
 * @param bytes what {@link encodeConfiguration} made, perhaps by another
 *     version of the program
 * @returns the configuration, or undefined when it can't be read
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
 * @param labels a pool's own labels
 * @param poolName its name, matched as the label `pool`
 * @returns the labels a selector's pool expression is matched against
 */
export function labelsOfPool(labels: Labels, poolName: string): Labels {
  return {...labels, pool: poolName};
}
