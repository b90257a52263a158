/**
 * Chooses a request's backend server from the placement policy's candidates,
 * without servers tried before and, if possible, without suspected ones.
 */
import {
  type BackendServer,
  type Membership,
  type Pool,
  type Random,
} from '@lovagepond/core';
import {type EligibleSet} from './router_eligibility.js';
import {type RouterLoadView} from './router_load_view.js';
import {
  type Placement,
  type PlacementPolicy,
  type PlacementRequest,
  type PlacementServer,
} from './router_placement.js';
import {RendezvousTable} from './router_rendezvous.js';
import {type KeyHasher} from './router_rendezvous_hash.js';

export interface ChoiceQuery {
  readonly request: PlacementRequest;
  readonly set: EligibleSet;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** The server that a pointer or hand-over names, if any. */
  readonly preferred: string | undefined;
}

/** The backend server chosen for a request, with details for its sidecar. */
export interface Chosen {
  readonly server: BackendServer;
  /** The chat's first choice when that is another server. */
  readonly firstChoice: BackendServer | undefined;
  /** Names of other servers where the chat may be warm. */
  readonly warmCandidates: readonly string[];
  /** Estimated mean of outstanding tokens over the eligible servers. */
  readonly poolMeanTokens: number;
}

export interface ChoiceDependencies {
  readonly policy: PlacementPolicy;
  readonly hasher: KeyHasher;
  readonly load: RouterLoadView;
  readonly random: Random;
  /** @returns true when this router suspects that the server has failed */
  readonly isSuspect: (server: BackendServer, now: number) => boolean;
}

/**
 * Servers listed within this time after the first membership update don't
 * count as new; milliseconds. When a whole fleet starts, its servers join over
 * some seconds. If all but the first one counted as new, a router would expect
 * returning chats to be warm at the first one, although other routers have just
 * started these chats elsewhere.
 */
const INITIAL_MEMBERSHIP_MS = 10_000;

interface Candidate extends PlacementServer {
  readonly server: BackendServer;
}

/** Keeps a rendezvous table for each eligible set in use. */
export class ServerChoice {
  readonly #deps: ChoiceDependencies;
  readonly #tables = new WeakMap<EligibleSet, RendezvousTable<Candidate>>();
  readonly #readySince = new Map<string, number>();
  #firstListedAt: number | undefined;

  constructor(deps: ChoiceDependencies) {
    this.#deps = deps;
  }

  /**
   * @param membership the new list of backend servers
   * @param now current time, monotonic milliseconds
   */
  useMembership(membership: Membership, now: number): void {
    this.#firstListedAt ??= now;
    const settled = now - this.#firstListedAt >= INITIAL_MEMBERSHIP_MS;
    const since = settled ? now : Number.NEGATIVE_INFINITY;
    for (const name of this.#readySince.keys()) {
      if (!membership.servers.has(name)) this.#readySince.delete(name);
    }
    for (const name of membership.servers.keys()) {
      if (!this.#readySince.has(name)) this.#readySince.set(name, since);
    }
  }

  /**
   * @param query the request and its eligible servers
   * @param now current time, monotonic milliseconds
   * @returns the chosen server, or undefined when none is left
   */
  choose(query: ChoiceQuery, now: number): Chosen | undefined {
    const pool = query.set.pools[0];
    if (!pool || query.set.servers.length === 0) return undefined;
    const table = this.#tableOf(query.set);
    const placement = this.#order(query, pool, table, now);
    const {candidates, firstChoice} = placement;
    const server =
      this.#findPreferred(query, now) ??
      this.#pick(query, candidates, table, now);
    if (!server) return undefined;
    const isElsewhere = server.name !== firstChoice.name;
    return {
      server,
      firstChoice: isElsewhere ? firstChoice.server : undefined,
      warmCandidates: this.#listWarmCandidates(query, placement, now),
      poolMeanTokens: this.#deps.load.meanOf(table.slots),
    };
  }

  /**
   * @param set an eligible set
   * @returns the slots of the set's servers in the load digest; the same object
   *     for the same set
   */
  slotsOf(set: EligibleSet): Int32Array {
    return this.#tableOf(set).slots;
  }

  #order(
    query: ChoiceQuery,
    settings: Pool,
    table: RendezvousTable<Candidate>,
    now: number,
  ): Placement<Candidate> {
    const {policy, load, random} = this.#deps;
    const {request} = query;
    const servers = table;
    return policy.place({request, servers, load, settings, now, random});
  }

  /**
   * Lists the warm candidates for a first attempt, or for an attempt that was
   * redirected to one of them. If the first choice received them again, it
   * could send the request in a loop.
   */
  #listWarmCandidates(
    {preferred, excluded}: ChoiceQuery,
    {warmCandidates = []}: Placement<Candidate>,
    now: number,
  ): string[] {
    return warmCandidates
      .filter(item => preferred === undefined || item.name === preferred)
      .filter(item => !excluded.has(item.name))
      .filter(item => !this.#deps.isSuspect(item.server, now))
      .map(item => item.name);
  }

  #findPreferred(
    {set, preferred, excluded}: ChoiceQuery,
    now: number,
  ): BackendServer | undefined {
    if (preferred === undefined || excluded.has(preferred)) return undefined;
    const found = set.servers.find(server => server.name === preferred);
    return found && !this.#deps.isSuspect(found, now) ? found : undefined;
  }

  /**
   * Picks the first suitable candidate of the policy, or else any other server.
   * Suspected servers are a last resort and not excluded: when all are
   * suspected, the fault is more likely at this router, and an attempt costs
   * little.
   */
  #pick(
    {excluded}: ChoiceQuery,
    candidates: readonly Candidate[],
    table: RendezvousTable<Candidate>,
    now: number,
  ): BackendServer | undefined {
    const isSuspect = (item: Candidate): boolean =>
      this.#deps.isSuspect(item.server, now);
    const candidate = candidates.find(
      item => !excluded.has(item.name) && !isSuspect(item),
    );
    if (candidate) return candidate.server;
    const rest = table.servers.filter(item => !excluded.has(item.name));
    const trusted = rest.filter(item => !isSuspect(item));
    const pool = trusted.length > 0 ? trusted : rest;
    return pool.length > 0 ? this.#deps.random.pick(pool).server : undefined;
  }

  #tableOf(set: EligibleSet): RendezvousTable<Candidate> {
    const known = this.#tables.get(set);
    if (known) return known;
    const candidates = set.servers.map(server => ({
      name: server.name,
      slot: server.slot,
      readySince: this.#readySince.get(server.name) ?? 0,
      server,
    }));
    const table = new RendezvousTable(candidates, this.#deps.hasher);
    this.#tables.set(set, table);
    return table;
  }
}
