/**
 * Route matching: finds the forwarding rule for a request by host and path.
 */
import {
  type Configuration,
  type Forwarding,
  needsApiKeys,
  type Pool,
  type Random,
  type Workspace,
} from '@lovagepond/core';

/** A pool that a rule sends requests to. */
export interface WeightedPool {
  readonly pool: Pool;
  readonly weight: number;
}

/** A selector of forwarded requests, joined with its request kind and pools. */
export interface ForwardingRule {
  readonly name: string;
  /** Name of the request kind. */
  readonly kind: string;
  /** Host that the selector matches. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Requests need no API key. */
  readonly isPublic: boolean;
  /** A request of this kind must not run twice. */
  readonly nonRepeatable: boolean;
  readonly forwarding: Forwarding;
  readonly pools: readonly WeightedPool[];
  /** Regions in which requests may run; undefined for all. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** The rules of one host, by path prefix. */
interface HostRules {
  readonly byPrefix: Map<string, ForwardingRule>;
  longestPrefixLength: number;
}

/** The forwarding rules and API keys of one configuration. Immutable. */
export class ForwardingRules {
  readonly #byHost = new Map<string, HostRules>();
  readonly #workspaceByApiKey = new Map<string, Workspace>();
  readonly pools: ReadonlyMap<string, Pool>;
  /** False when requests need no API key, whatever their rule. */
  readonly needsKeys: boolean;

  /** @param configuration the installed configuration */
  constructor({content}: Configuration) {
    this.pools = new Map(content.pools.map(pool => [pool.name, pool]));
    this.needsKeys = needsApiKeys(content);
    const kinds = new Map(content.requestKinds.map(kind => [kind.name, kind]));
    for (const workspace of content.workspaces) {
      for (const key of workspace.apiKeys ?? []) {
        this.#workspaceByApiKey.set(key, workspace);
      }
    }
    for (const selector of content.selectors) {
      const {match, poolWeights} = selector;
      const kind = kinds.get(selector.requestKinds[0] ?? '');
      if (!match || !kind?.forwarding) continue;
      this.#add(match.host, {
        name: selector.name,
        kind: kind.name,
        host: match.host,
        pathPrefix: match.pathPrefix,
        isPublic: selector.public ?? false,
        nonRepeatable: kind.nonRepeatable,
        forwarding: kind.forwarding,
        pools: this.#joinPools(poolWeights ?? []),
        allowedRegions: selector.allowedRegions,
      });
    }
  }

  /**
   * @param host the Host header
   * @param path the request's path, including its query
   * @returns the rule with the longest matching path prefix
   */
  find(host: string, path: string): ForwardingRule | undefined {
    const rules = this.#byHost.get(normalizeHost(host));
    if (!rules) return undefined;
    const queryStart = path.indexOf('?');
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    // Prefixes end with a slash, so one lookup for each slash of the path is
    // enough. With 1,900 rules, a linear search of a sorted list is slower.
    let end = pathname.lastIndexOf('/', rules.longestPrefixLength - 1);
    while (end >= 0) {
      const rule = rules.byPrefix.get(pathname.slice(0, end + 1));
      if (rule) return rule;
      end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /**
   * @param key an API key
   * @returns the workspace that it belongs to
   */
  workspaceOf(key: string): Workspace | undefined {
    return this.#workspaceByApiKey.get(key);
  }

  #add(host: string, rule: ForwardingRule): void {
    const name = normalizeHost(host);
    const rules = this.#byHost.get(name) ?? {
      byPrefix: new Map(),
      longestPrefixLength: 0,
    };
    rules.byPrefix.set(rule.pathPrefix, rule);
    rules.longestPrefixLength = Math.max(
      rules.longestPrefixLength,
      rule.pathPrefix.length,
    );
    this.#byHost.set(name, rules);
  }

  #joinPools(
    weights: readonly {readonly pool: string; readonly weight: number}[],
  ): WeightedPool[] {
    return weights.flatMap(({pool: name, weight}) => {
      const pool = this.pools.get(name);
      return pool && weight > 0 ? [{pool, weight}] : [];
    });
  }
}

/** Host names are case-insensitive, and callers may append the port. */
/**
 * @param host a Host header
 * @returns the host's name in lower case, without a port
 */
export function normalizeHost(host: string): string {
  const name = host.toLowerCase();
  return name.includes(':') ? name.replace(/:\d+$/, '') : name;
}

/**
 * @param pools pools with their weights
 * @param random source of the random number
 * @returns a random pool, in proportion to the weights
 */
export function drawPool(
  pools: readonly WeightedPool[],
  random: Random,
): Pool | undefined {
  const total = pools.reduce((sum, {weight}) => sum + weight, 0);
  let left = random.next() * total;
  for (const {pool, weight} of pools) {
    left -= weight;
    if (left < 0) return pool;
  }
  return pools.at(-1)?.pool;
}
