/**
 * The list of backend servers with the versions of its changes, so that a
 * subscriber gets only the changes since the version that it holds.
 */
import {type BackendServer, isDirect, type WarmUp} from '@lovagepond/core';

/** Limit of stored departures; for an older version, the whole list is sent. */
const MAX_DEPARTURES = 4_096;

/** The changes between two versions. */
export interface MembershipChange {
  readonly version: number;
  /** True when `members` is the whole list. */
  readonly whole: boolean;
  /** True when `members` has all servers without a sidecar. */
  readonly wholeDirect: boolean;
  readonly members: readonly BackendServer[];
  readonly gone: readonly string[];
}

interface VersionedServer {
  readonly server: BackendServer;
  readonly version: number;
}

interface Departure {
  readonly server: BackendServer;
  readonly version: number;
}

/** Backend servers and the versions at which they changed or left. */
export class MembershipLog {
  #version = 0;
  #complete = false;
  #completeVersion = 0;
  /** The list has had all servers without a sidecar since this version. */
  #directCompleteVersion = 0;
  /** Departures up to this version were removed. */
  #trimmedVersion = 0;
  readonly #servers = new Map<string, VersionedServer>();
  #departures: Departure[] = [];
  /** Changes up to the current version, which many subscribers request. */
  readonly #changeCache = new Map<string, MembershipChange>();
  #changeCacheVersion = 0;

  /** Increases with every change. */
  get version(): number {
    return this.#version;
  }

  /** True once the list is expected to contain all announced servers. */
  get complete(): boolean {
    return this.#complete;
  }

  get size(): number {
    return this.#servers.size;
  }

  /** @returns the servers, in the order of their first announcement */
  *servers(): IterableIterator<BackendServer> {
    for (const {server} of this.#servers.values()) yield server;
  }

  /**
   * @param name a backend server
   * @returns the server, when it is in the list
   */
  get(name: string): BackendServer | undefined {
    return this.#servers.get(name)?.server;
  }

  /**
   * Keeps a new leader's versions above those of all previous leaders.
   *
   * @param version the minimum version
   */
  raiseVersion(version: number): void {
    this.#version = Math.max(this.#version, version);
  }

  /**
   * @param server a new server, or a server's new state
   * @param version version of the change; by default the next one
   */
  put(server: BackendServer, version = this.#version + 1): void {
    this.raiseVersion(version);
    const former = this.#servers.get(server.name)?.server;
    this.#servers.set(server.name, {server, version: this.#version});
    // Subscribers of only the previous pool must remove the server.
    if (former && former.pool !== server.pool) this.#addDeparture(former);
  }

  /**
   * @param name the server to remove
   * @param version version of the change; by default the next one
   */
  remove(name: string, version = this.#version + 1): void {
    const known = this.#servers.get(name);
    if (!known) return;
    this.raiseVersion(version);
    this.#servers.delete(name);
    this.#addDeparture(known.server);
  }

  markComplete(): void {
    if (this.#complete) return;
    this.#complete = true;
    this.#version += 1;
    this.#completeVersion = this.#version;
  }

  /** Marks that no server without a sidecar is missing, though others may be. */
  markDirectComplete(): void {
    this.#version += 1;
    this.#directCompleteVersion = this.#version;
  }

  /** Marks that servers may be missing, until {@link markComplete}. */
  markIncomplete(): void {
    this.#complete = false;
  }

  /**
   * Applies a change under the leader's version. One with a lower version than
   * this list comes from a deposed leader and is ignored.
   *
   * @param change a change from the leader; changes must be passed in order
   */
  mirror(change: MembershipChange): void {
    const {version, members, gone, whole, wholeDirect} = change;
    if (version < this.#version) return;
    for (const server of members) {
      if (!this.#isSame(server)) this.put(server, version);
    }
    for (const name of gone) this.remove(name, version);
    this.raiseVersion(version);
    if (wholeDirect) {
      this.#removeOthers(members, version, isDirect);
      this.#directCompleteVersion = version;
    }
    if (!whole) return;
    this.#removeOthers(members, version);
    if (!this.#complete) this.#completeVersion = version;
    this.#complete = true;
  }

  /**
   * @param version the version that the subscriber holds; 0 without a list
   * @param pool the pool to include; empty for all pools
   * @returns the changes since that version, or undefined when there are none
   */
  changesSince(version: number, pool: string): MembershipChange | undefined {
    if (version >= this.#version) return undefined;
    if (this.#changeCacheVersion !== this.#version) this.#changeCache.clear();
    this.#changeCacheVersion = this.#version;
    const cacheKey = `${version} ${pool}`;
    const cached = this.#changeCache.get(cacheKey);
    if (cached) return cached;
    const change = this.#collectChanges(version, pool);
    this.#changeCache.set(cacheKey, change);
    return change;
  }

  #collectChanges(version: number, pool: string): MembershipChange {
    const inPool = (server: BackendServer): boolean =>
      pool === '' || server.pool === pool;
    const whole = this.#needsWhole(version);
    const wholeDirect = !whole && version < this.#directCompleteVersion;
    const members: BackendServer[] = [];
    for (const known of this.#servers.values()) {
      const isIncluded =
        whole ||
        known.version > version ||
        (wholeDirect && isDirect(known.server));
      if (isIncluded && inPool(known.server)) members.push(known.server);
    }
    const gone = whole ? [] : this.#goneSince(version, inPool);
    return {version: this.#version, whole, wholeDirect, members, gone};
  }

  /**
   * An incomplete list is never sent as whole: after a change of leader,
   * routers would drop every server that hasn't renewed its lease yet.
   */
  #needsWhole(version: number): boolean {
    if (!this.#complete) return false;
    return version < Math.max(this.#completeVersion, this.#trimmedVersion);
  }

  #removeOthers(
    members: readonly BackendServer[],
    version: number,
    isConcerned: (server: BackendServer) => boolean = () => true,
  ): void {
    const kept = new Set(members.map(server => server.name));
    for (const server of [...this.servers()]) {
      if (kept.has(server.name) || !isConcerned(server)) continue;
      this.remove(server.name, version);
    }
  }

  #isSame(server: BackendServer): boolean {
    const known = this.#servers.get(server.name)?.server;
    return known !== undefined && isSameServer(known, server);
  }

  #goneSince(
    version: number,
    inPool: (server: BackendServer) => boolean,
  ): string[] {
    return this.#departures
      .filter(
        departure => departure.version > version && inPool(departure.server),
      )
      .map(left => left.server.name)
      .filter(name => {
        const known = this.#servers.get(name)?.server;
        return !known || !inPool(known);
      });
  }

  #addDeparture(server: BackendServer): void {
    this.#departures.push({server, version: this.#version});
    if (this.#departures.length <= MAX_DEPARTURES) return;
    const cut = this.#departures.length - MAX_DEPARTURES / 2;
    this.#trimmedVersion =
      this.#departures[cut - 1]?.version ?? this.#trimmedVersion;
    this.#departures = this.#departures.slice(cut);
  }
}

/**
 * @param a a server
 * @param b a server of the same name
 * @returns true when they are the same to a subscriber
 */
export function isSameServer(a: BackendServer, b: BackendServer): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.slot === b.slot &&
    a.address === b.address &&
    a.pool === b.pool &&
    a.capacityTokens === b.capacityTokens &&
    a.directSlots === b.directSlots &&
    (a.place ?? '') === (b.place ?? '') &&
    a.availabilityZone === b.availabilityZone &&
    a.region === b.region &&
    isSameList(a.models, b.models) &&
    isSameWarmUp(a.warmUp, b.warmUp) &&
    isSameLabels(a, b)
  );
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}

/**
 * @param a a server's warm-up; undefined when it is warm
 * @param b another one
 * @returns true when the same routers may send
 */
export function isSameWarmUp(
  a: WarmUp | undefined,
  b: WarmUp | undefined,
): boolean {
  if (!a || !b) return a === b;
  return isSameList(a.routers, b.routers);
}

function isSameLabels(a: BackendServer, b: BackendServer): boolean {
  const keys = Object.keys(a.labels);
  if (keys.length !== Object.keys(b.labels).length) return false;
  return keys.every(key => a.labels[key] === b.labels[key]);
}
