/**
 * The registry of backend servers, built from their announcements. It is soft
 * state of the control leader and is never written to disk.
 */
import {
  type BackendServer,
  encodeLoad,
  isDirect,
  SERVER_STATE,
  type ServerState,
  type WarmUp,
} from '@lovagepond/core';
import {WANTED_STATE, type WantedState} from './control_administration.js';
import {FlapDamper, type FlapSettings} from './membership_flapping.js';
import {
  type Announcement,
  decideState,
  isDraining,
  isFlap,
  type ServerRecord,
  toBackendServer,
} from './membership_record.js';
import {
  isSameServer,
  isSameWarmUp,
  type MembershipLog,
} from './membership_log.js';
import {SlotTable} from './membership_slots.js';
import {type PoolMean, PoolMeans} from './pool_means.js';

export interface RegistrySettings {
  /** A server that doesn't renew its lease for this long is removed. */
  readonly leaseMs: number;
  readonly flapping?: FlapSettings;
}

/** Returns the state that operators request of a server. */
export type WantedStateReader = (
  server: Pick<BackendServer, 'name' | 'availabilityZone'>,
) => WantedState;

/** One backend server with the state that only control holds. */
export interface RegisteredServer {
  readonly server: BackendServer;
  readonly announcedState: ServerState;
  readonly runningTokens: number;
  readonly queuedTokens: number;
  /** Last renewal of the lease, monotonic milliseconds. */
  readonly renewedAt: number;
  /** True while flap damping holds the server in `joining`. */
  readonly held: boolean;
}

/** Load of all servers at one moment. */
export interface LoadReport {
  readonly membershipVersion: number;
  /** One byte for each slot. */
  readonly loads: Uint8Array;
  /** Mean age of the included announcements, milliseconds. */
  readonly ageMs: number;
}

/** Versions reserved for each term. Safe integers leave room for 2^21 terms. */
const VERSIONS_PER_TERM = 2 ** 32;

/** Time before a released slot is reused, as a number of lease durations. */
const SLOT_REUSE_DELAY_LEASES = 4;

/**
 * When the expired leases belong to more than this fraction of all servers, this
 * is a mass lapse. Draining servers count only towards the total.
 */
const MASS_LAPSE_FRACTION = 0.5;

/**
 * Minimum number of servers for a mass lapse: of fewer servers, more than half
 * may well fail at once.
 */
const MASS_LAPSE_MIN_SERVERS = 4;

/**
 * Longest time for which a mass lapse suspends the removal of servers, as a
 * number of lease durations.
 */
const MASS_LAPSE_SUSPENSION_LEASES = 10;

/** Fraction of a pool that must stay ready when a server is held back. */
const MIN_READY_FRACTION = 0.5;

/** The backend servers that announced themselves to this leader. */
export class MembershipRegistry {
  readonly #settings: RegistrySettings;
  readonly #log: MembershipLog;
  readonly #records = new Map<string, ServerRecord>();
  readonly #poolSizes = new Map<string, number>();
  readonly #damper: FlapDamper;
  #slots: SlotTable;
  #means = new PoolMeans();
  #completeAt = 0;
  #massLapseSince: number | undefined;

  /**
   * @param settings lease duration and flap damping
   * @param log the versioned list from which subscribers get changes
   */
  constructor(settings: RegistrySettings, log: MembershipLog) {
    this.#settings = settings;
    this.#log = log;
    this.#damper = new FlapDamper(settings.flapping);
    this.#slots = new SlotTable(settings.leaseMs * SLOT_REUSE_DELAY_LEASES);
  }

  /**
   * Initializes a new leader's registry from the list that it mirrored as a
   * follower. Every server gets a full lease, as it renewed its lease with the
   * previous leader only: otherwise each change of leader would empty the
   * routers' lists.
   *
   * Servers without a sidecar come from the replicated state alone. A former
   * leader may have confirmed the end of a server and been lost before its
   * followers' lists were told.
   *
   * @param term the leader's term
   * @param now monotonic milliseconds
   * @param replicated servers without a sidecar, from the replicated state;
   *     undefined while none has ever joined
   * @param wantedOf returns the state that operators request of a server
   */
  takeOver(
    term: number,
    now: number,
    replicated?: readonly Announcement[],
    wantedOf: WantedStateReader = () => WANTED_STATE.READY,
  ): void {
    const {leaseMs} = this.#settings;
    this.#records.clear();
    this.#poolSizes.clear();
    this.#means = new PoolMeans();
    this.#slots = new SlotTable(leaseMs * SLOT_REUSE_DELAY_LEASES);
    this.#massLapseSince = undefined;
    this.#log.raiseVersion(term * VERSIONS_PER_TERM);
    const joined = new Set(replicated?.map(({name}) => name));
    for (const server of [...this.#log.servers()]) {
      if (isDirect(server) && !joined.has(server.name)) {
        this.#log.remove(server.name);
      } else {
        this.#adopt(server, now);
      }
    }
    // Without a mirrored list, all servers announce themselves within a lease.
    this.#completeAt = now + leaseMs;
    if (this.#records.size === 0) this.#log.markIncomplete();
    for (const server of replicated ?? []) {
      this.announce(server, wantedOf(server), now);
    }
    this.applyWantedStates(wantedOf);
    // Until the list is complete, subscribers keep servers that it lacks.
    if (replicated && !this.#log.complete) this.#log.markDirectComplete();
  }

  /**
   * Updates the states of all servers to what operators request now.
   *
   * @param wantedOf returns the state that operators request of a server
   */
  applyWantedStates(wantedOf: WantedStateReader): void {
    for (const record of this.#records.values()) {
      const {announcedState, held, server, share} = record;
      const state = decideState(announcedState, wantedOf(server), held);
      if (state === server.state) continue;
      record.server = {...server, state};
      if (share) this.#means.subtract(share);
      record.share = undefined;
      this.#addShare(record);
      this.#log.put(record.server);
    }
  }

  /**
   * Applies an announcement: adds the server or renews its lease.
   *
   * @param announcement the announcement
   * @param wanted the server's wanted state
   * @param now monotonic milliseconds
   */
  announce(announcement: Announcement, wanted: WantedState, now: number): void {
    const known = this.#records.get(announcement.name);
    if (isFlap(known, announcement)) this.#damper.add(announcement.name, now);
    const slot = this.#slots.assign(announcement.name, now);
    const held = this.#isHeld(announcement, now);
    const state = decideState(announcement.state, wanted, held);
    const server = toBackendServer(announcement, state, slot);
    if (!known) this.#resizePool(server.pool, 1);
    if (known && known.server.pool !== server.pool) {
      this.#resizePool(known.server.pool, -1);
      this.#resizePool(server.pool, 1);
    }
    if (known?.share) this.#means.subtract(known.share);
    const record: ServerRecord = {
      server:
        known && isSameServer(known.server, server) ? known.server : server,
      announcedState: announcement.state,
      runningTokens: announcement.runningTokens,
      queuedTokens: announcement.queuedTokens,
      renewedAt: now,
      held,
      hasAnnounced: true,
      share: undefined,
    };
    this.#records.set(announcement.name, record);
    this.#addShare(record);
    if (record.server !== known?.server) this.#log.put(server);
  }

  /**
   * @param name a server that has ended; may be absent from the list
   * @param now monotonic milliseconds
   */
  remove(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record) this.#remove(record, now);
  }

  /**
   * Removes servers whose lease expired; in a mass lapse only draining ones.
   *
   * @param now monotonic milliseconds
   * @returns names of the removed servers
   */
  tick(now: number): readonly string[] {
    this.#damper.sweep(now);
    if (!this.#log.complete && now >= this.#completeAt) {
      this.#log.markComplete();
    }
    const lapsed = [...this.#records.values()].filter(
      record => now - record.renewedAt > this.#settings.leaseMs,
    );
    const gone = this.#isExpirySuspended(lapsed, now)
      ? lapsed.filter(isDraining)
      : lapsed;
    for (const record of gone) this.#remove(record, now);
    return gone.map(record => record.server.name);
  }

  /**
   * @param pool a pool's name
   * @param now monotonic milliseconds
   * @returns mean load of the pool's ready servers
   */
  poolMean(pool: string, now: number): PoolMean {
    return this.#means.read(pool, now);
  }

  /**
   * @param now monotonic milliseconds
   * @returns the load of every server, by slot
   */
  loadReport(now: number): LoadReport {
    const loads = new Uint8Array(this.#slots.length);
    let ages = 0;
    for (const record of this.#records.values()) {
      const tokens = record.runningTokens + record.queuedTokens;
      loads[record.server.slot] = encodeLoad(tokens);
      ages += now - record.renewedAt;
    }
    const ageMs = ages / Math.max(1, this.#records.size);
    return {membershipVersion: this.#log.version, loads, ageMs};
  }

  /** @returns all servers with their state at this leader */
  list(): readonly RegisteredServer[] {
    return [...this.#records.values()];
  }

  /**
   * @param name a server
   * @returns true while it is in the list
   */
  has(name: string): boolean {
    return this.#records.has(name);
  }

  /**
   * Updates a server in the list from the replicated state.
   *
   * @param name a server
   * @param changed the fields to update
   */
  update(
    name: string,
    changed: Partial<Pick<BackendServer, 'state' | 'place'>>,
  ): void {
    const record = this.#records.get(name);
    if (!record) return;
    const server = {...record.server, ...changed};
    if (isSameServer(record.server, server)) return;
    record.server = server;
    this.#log.put(server);
  }

  /**
   * @param name a server
   * @param warmUp the routers that may send to it; undefined for all
   * @returns true when this changed the list
   */
  setWarmUp(name: string, warmUp: WarmUp | undefined): boolean {
    const record = this.#records.get(name);
    if (!record || isSameWarmUp(record.server.warmUp, warmUp)) return false;
    record.server = {...record.server, warmUp};
    this.#log.put(record.server);
    return true;
  }

  #adopt(server: BackendServer, now: number): void {
    this.#slots.adopt(server.name, server.slot, now);
    this.#resizePool(server.pool, 1);
    this.#records.set(server.name, {
      server,
      announcedState: server.state,
      runningTokens: 0,
      queuedTokens: 0,
      renewedAt: now,
      held: false,
      hasAnnounced: false,
      share: undefined,
    });
  }

  /**
   * Holds a flapping server in `joining`, unless fewer than half of its pool
   * would stay ready: a flapping server is better than none.
   */
  #isHeld(announcement: Announcement, now: number): boolean {
    if (!this.#damper.isHeld(announcement.name, now)) return false;
    const size = this.#poolSizes.get(announcement.pool) ?? 0;
    const ready = this.#means.read(announcement.pool, now).readyServers;
    const ownReady = this.#records.get(announcement.name)?.share ? 1 : 0;
    return ready - ownReady >= size * MIN_READY_FRACTION;
  }

  /**
   * Suspends the removal of servers when most leases expire at once: the likely
   * cause is this leader's network. Removing healthy servers would empty every
   * router's list, and routers detect failed servers by themselves.
   */
  #isExpirySuspended(lapsed: readonly ServerRecord[], now: number): boolean {
    const failed = lapsed.filter(record => !isDraining(record)).length;
    const total = this.#records.size;
    const isMassLapse =
      failed > total * MASS_LAPSE_FRACTION && total >= MASS_LAPSE_MIN_SERVERS;
    if (!isMassLapse) {
      this.#massLapseSince = undefined;
      return false;
    }
    this.#massLapseSince ??= now;
    const suspensionMs = this.#settings.leaseMs * MASS_LAPSE_SUSPENSION_LEASES;
    return now - this.#massLapseSince < suspensionMs;
  }

  #remove(record: ServerRecord, now: number): void {
    const {name, pool} = record.server;
    this.#records.delete(name);
    this.#resizePool(pool, -1);
    this.#slots.release(name, now);
    if (record.share) this.#means.subtract(record.share);
    this.#log.remove(name);
  }

  #addShare(record: ServerRecord): void {
    if (record.server.state !== SERVER_STATE.READY) return;
    record.share = {
      pool: record.server.pool,
      tokens: record.runningTokens + record.queuedTokens,
      runningTokens: record.runningTokens,
      reportedAt: Math.floor(record.renewedAt),
    };
    this.#means.add(record.share);
  }

  #resizePool(pool: string, change: number): void {
    const size = (this.#poolSizes.get(pool) ?? 0) + change;
    if (size > 0) {
      this.#poolSizes.set(pool, size);
    } else {
      this.#poolSizes.delete(pool);
    }
  }
}
