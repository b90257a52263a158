/**
 * Decides which backend servers may serve a request, according to the selectors
 * of one configuration revision and one version of the membership.
 */
import {
  type BackendServer,
  type Configuration,
  type Failure,
  labelsOfPool,
  type LabelTerm,
  makeFailure,
  matchesLabels,
  type Membership,
  parseLabelExpression,
  type Pool,
  regionCheckOf,
  type RequestKind,
  type Selector,
  SERVER_STATE,
  type Workspace,
} from '@lovagepond/core';

const ANY = '*';

/** The servers that one selector allows; the same object until an update. */
export interface EligibleSet {
  readonly selector: string;
  readonly pools: readonly Pool[];
  /** Ready servers only. */
  readonly servers: readonly BackendServer[];
}

/** The configuration and servers for placing a request. */
export interface Eligible {
  readonly workspace: Workspace;
  readonly requestKind: RequestKind;
  readonly set: EligibleSet;
}

/** The servers eligible for a request, or why there are none. */
export type EligibilityVerdict =
  | {readonly ok: true; readonly eligible: Eligible}
  | {readonly ok: false; readonly failure: Failure};

interface CompiledSelector {
  readonly selector: Selector;
  readonly pools: readonly Pool[];
  readonly poolNames: ReadonlySet<string>;
  readonly serverTerms: readonly LabelTerm[];
}

function parseTerms(text: string): readonly LabelTerm[] | undefined {
  const parsed = parseLabelExpression(text);
  return parsed.ok ? parsed.terms : undefined;
}

function compileSelector(
  selector: Selector,
  pools: readonly Pool[],
): CompiledSelector | undefined {
  const poolTerms = parseTerms(selector.pools);
  const serverTerms = parseTerms(selector.backendServers);
  // The schema rejects expressions that can't be parsed. One in a newer
  // version's syntax must not make more servers eligible in this version.
  if (!poolTerms || !serverTerms) return undefined;
  const matching = pools.filter(pool =>
    matchesLabels(poolTerms, labelsOfPool(pool.labels, pool.name)),
  );
  const poolNames = new Set(matching.map(pool => pool.name));
  return {selector, pools: matching, poolNames, serverTerms};
}

function compileSelectors(configuration: Configuration): CompiledSelector[] {
  const {pools, selectors} = configuration.content;
  return selectors
    .map(selector => compileSelector(selector, pools))
    .filter(compiled => compiled !== undefined)
    .sort((a, b) => b.selector.priority - a.selector.priority);
}

function names(list: readonly string[], name: string): boolean {
  return list.includes(ANY) || list.includes(name);
}

function matchesChat(selector: Selector, chat: string): boolean {
  const {chatPrefixes} = selector;
  if (chatPrefixes.length === 0) return true;
  return chatPrefixes.some(prefix => chat.startsWith(prefix));
}

function indexByName<Item extends {readonly name: string}>(
  items: readonly Item[],
): ReadonlyMap<string, Item> {
  return new Map(items.map(item => [item.name, item]));
}

/** The compiled selectors of one configuration revision. */
export class Eligibility {
  readonly #selectors: readonly CompiledSelector[];
  readonly #workspaces: ReadonlyMap<string, Workspace>;
  readonly #requestKinds: ReadonlyMap<string, RequestKind>;
  /** By workspace, then by request kind; has entries for known names only. */
  readonly #matching = new Map<string, Map<string, CompiledSelector[]>>();
  /** By selector, then by the regions that workspaces allow. */
  readonly #sets = new Map<CompiledSelector, Map<string, EligibleSet>>();
  #membership: Membership;

  constructor(configuration: Configuration, membership: Membership) {
    const {workspaces, requestKinds} = configuration.content;
    this.#selectors = compileSelectors(configuration);
    this.#workspaces = indexByName(workspaces);
    this.#requestKinds = indexByName(requestKinds);
    this.#membership = membership;
  }

  /** @param membership the new list of backend servers */
  useMembership(membership: Membership): void {
    this.#membership = membership;
    this.#sets.clear();
  }

  /**
   * @param workspaceName the caller's workspace
   * @param kindName the request's kind
   * @param chat the chat's name; empty when there is none
   * @returns the servers that the first matching selector allows
   */
  find(
    workspaceName: string,
    kindName: string,
    chat: string,
  ): EligibilityVerdict {
    const workspace = this.#workspaces.get(workspaceName);
    if (!workspace) return refuse(makeFailure('unknownWorkspace'));
    const requestKind = this.#requestKinds.get(kindName);
    if (!requestKind) {
      // A misspelled kind must not match a selector for any kind: the call
      // would no longer be marked as non-repeatable.
      const message = 'The request kind is not known.';
      return refuse(makeFailure('badRequest', {message}));
    }
    const matching = this.#match(workspaceName, kindName);
    const found = matching.find(item => matchesChat(item.selector, chat));
    if (!found) {
      const message = 'No selector allows this request.';
      return refuse(makeFailure('noBackendServer', {message}));
    }
    return {
      ok: true,
      eligible: {workspace, requestKind, set: this.#setOf(found, workspace)},
    };
  }

  #match(workspace: string, kind: string): CompiledSelector[] {
    let byKind = this.#matching.get(workspace);
    if (!byKind) {
      byKind = new Map();
      this.#matching.set(workspace, byKind);
    }
    let matching = byKind.get(kind);
    if (!matching) {
      matching = this.#selectors.filter(
        ({selector}) =>
          names(selector.workspaces, workspace) &&
          names(selector.requestKinds, kind),
      );
      byKind.set(kind, matching);
    }
    return matching;
  }

  #setOf(compiled: CompiledSelector, {allowedRegions}: Workspace): EligibleSet {
    const byRegions =
      this.#sets.get(compiled) ?? new Map<string, EligibleSet>();
    this.#sets.set(compiled, byRegions);
    const key = allowedRegions?.join('\u0000') ?? '';
    const set = byRegions.get(key) ?? this.#makeSet(compiled, allowedRegions);
    byRegions.set(key, set);
    return set;
  }

  #makeSet(
    {selector, pools, poolNames, serverTerms}: CompiledSelector,
    workspaceRegions: readonly string[] | undefined,
  ): EligibleSet {
    const isRegionAllowed = regionCheckOf(
      selector.allowedRegions,
      workspaceRegions,
    );
    const servers = [...this.#membership.servers.values()].filter(
      server =>
        server.state === SERVER_STATE.READY &&
        poolNames.has(server.pool) &&
        isRegionAllowed(server.region) &&
        matchesLabels(serverTerms, server.labels),
    );
    return {selector: selector.name, pools, servers};
  }
}

function refuse(failure: Failure): EligibilityVerdict {
  return {ok: false, failure};
}
