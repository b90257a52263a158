/**
 * Chooses a request's backend server: the placement policy's candidates, less
 * those tried before and those that this router has evidence against.
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

/** What a choice is made from. */
export interface ChoiceQuery {
  readonly request: PlacementRequest;
  readonly set: EligibleSet;
  /** Names of servers not to choose. */
  readonly excluded: ReadonlySet<string>;
  /** A server named by a pointer or hand-over, or undefined. */
  readonly preferred: string | undefined;
}

/** A backend server chosen for a request, with what its sidecar is told. */
export interface Chosen {
  readonly server: BackendServer;
  /** The chat's first choice, when that is another server. */
  readonly firstChoice: BackendServer | undefined;
  /** Names of servers where the chat may be warm when it isn't here. */
  readonly warmCandidates: readonly string[];
  /** Estimated mean of outstanding tokens over the eligible servers. */
  readonly poolMeanTokens: number;
}

/** What {@link ServerChoice} decides with. */
export interface ChoiceDependencies {
  readonly policy: PlacementPolicy;
  readonly hasher: KeyHasher;
  readonly load: RouterLoadView;
  readonly random: Random;
  /** @returns true when this router has evidence against the server */
  readonly isSuspect: (server: BackendServer, now: number) => boolean;
}

/**
 * Servers that are listed within this time of the first list count as old. A
 * fleet that starts as a whole joins over some seconds: were only the first
 * server of a router's first list old, that router would send every returning
 * chat there, away from where the others had just begun it.
 */
const INITIAL_MEMBERSHIP_MS = 10_000;

interface Candidate extends PlacementServer {
  readonly server: BackendServer;
}

/** Keeps a table of servers for each eligible set in use. */
export class ServerChoice {
  readonly #dependencies: ChoiceDependencies;
  readonly #tables = new WeakMap<EligibleSet, RendezvousTable<Candidate>>();
  readonly #readySince = new Map<string, number>();
  #firstListedAt: number | undefined;

  constructor(dependencies: ChoiceDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * @param membership the list of backend servers from now on
   * @param now present time, monotonic milliseconds
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
   * @param query what is to be placed
   * @param now present time, monotonic milliseconds
   * @returns the server, or undefined when none is left
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
      poolMeanTokens: this.#dependencies.load.meanOf(table.slots),
    };
  }

  /**
   * @param set an eligible set
   * @returns the slots of its servers in the load digest; the same object for
   *     the same set
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
    const {policy, load, random} = this.#dependencies;
    const {request} = query;
    const servers = table;
    return policy.place({request, servers, load, settings, now, random});
  }

  /**
   * A first attempt names them, and so does the one that follows to such a
   * server. Named again to the first choice, they would let it send the
   * request round in a circle.
   */
  #listWarmCandidates(
    {preferred, excluded}: ChoiceQuery,
    {warmCandidates = []}: Placement<Candidate>,
    now: number,
  ): string[] {
    return warmCandidates
      .filter(item => preferred === undefined || item.name === preferred)
      .filter(item => !excluded.has(item.name))
      .filter(item => !this.#dependencies.isSuspect(item.server, now))
      .map(item => item.name);
  }

  #findPreferred(
    {set, preferred, excluded}: ChoiceQuery,
    now: number,
  ): BackendServer | undefined {
    if (preferred === undefined || excluded.has(preferred)) return undefined;
    const found = set.servers.find(server => server.name === preferred);
    return found && !this.#dependencies.isSuspect(found, now)
      ? found
      : undefined;
  }

  /**
   * The policy's candidates go first, then any other server. A server under
   * suspicion comes last and is not left out: should all be suspected, the
   * fault is more likely this router's own, and a try costs little.
   */
  #pick(
    {excluded}: ChoiceQuery,
    candidates: readonly Candidate[],
    table: RendezvousTable<Candidate>,
    now: number,
  ): BackendServer | undefined {
    const isSuspect = (item: Candidate): boolean =>
      this.#dependencies.isSuspect(item.server, now);
    const candidate = candidates.find(
      item => !excluded.has(item.name) && !isSuspect(item),
    );
    if (candidate) return candidate.server;
    const rest = table.servers.filter(item => !excluded.has(item.name));
    const trusted = rest.filter(item => !isSuspect(item));
    const pool = trusted.length > 0 ? trusted : rest;
    return pool.length > 0
      ? this.#dependencies.random.pick(pool).server
      : undefined;
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
    const table = new RendezvousTable(candidates, this.#dependencies.hasher);
    this.#tables.set(set, table);
    return table;
  }
}
