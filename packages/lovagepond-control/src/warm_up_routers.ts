/**
 * Names the routers that issue permits for servers while they are warming up.
 */
import {type WarmUpLimits} from '@lovagepond/core';
import {
  WARM_UP_LOG_VERSION,
  WARM_UP_ROUTERS_COMMAND,
} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {
  type DirectServerRecord,
  hasWarmUpRouters,
} from './direct_server_table.js';
import {type Proposer} from './proposer.js';
import {ROUTER_ROLE} from './subscription_feed.js';
import {chooseWarmUpRouters} from './warm_up_decision.js';

/** Routers that have reported within this time are running, milliseconds. */
const RECENT_MS = 3_000;

/** Routers that a server gets, if as many are known. */
const WANTED_ROUTERS = 3;

/**
 * Time without a new router after which fewer are named, milliseconds. Control
 * may have just started, or have another leader, and the others are about to
 * report.
 */
const SETTLED_MS = 2_000;

/** Time after which a server gets routers that had none, milliseconds. */
const NAMING_DELAY_MS = 5_000;

/**
 * Time after a zone's return for which its servers keep the routers that were
 * named for the zone, milliseconds. Their warm-up is over then.
 */
const ZONE_ROUTERS_MS = 60_000;

/** Servers of one command. */
const MAX_NAMED_SERVERS = 200;

export interface WarmUpRoutersDependencies {
  readonly machine: ControlStateMachine;
  readonly proposer: Pick<Proposer, 'propose'>;
  readonly convergence: Pick<ConvergenceTable, 'namesOf'>;
  /** @returns the lowest log version among the members */
  readonly oldestLogVersion: () => number;
}

export class WarmUpRouters {
  readonly #deps: WarmUpRoutersDependencies;
  #isNaming = false;
  #knownCount = 0;
  #lastNewAt = Number.NEGATIVE_INFINITY;

  constructor(deps: WarmUpRoutersDependencies) {
    this.#deps = deps;
  }

  /**
   * @param server name of a server that joins
   * @param limits the limits of its pool, if they are known
   * @param now current time, monotonic milliseconds
   * @returns its routers; none while others are about to become known
   */
  choose(
    server: string,
    limits: WarmUpLimits | undefined,
    now: number,
  ): readonly string[] {
    const known = this.#known(now);
    const isSettled = now - this.#lastNewAt >= SETTLED_MS;
    if (known.length < WANTED_ROUTERS && !isSettled) return [];
    return chooseWarmUpRouters(known, server, limits);
  }

  /**
   * Names routers for servers that joined while too few were known.
   *
   * @param now current time, monotonic milliseconds
   */
  async tick(now: number): Promise<void> {
    const known = this.#known(now);
    if (known.length > this.#knownCount) this.#lastNewAt = now;
    this.#knownCount = known.length;
    if (this.#isNaming) return;
    const {proposer, oldestLogVersion} = this.#deps;
    const without = this.#withoutRouters(now);
    if (known.length === 0 || without.length === 0) return;
    // A member of an earlier release would stop at an unknown command.
    if (oldestLogVersion() < WARM_UP_LOG_VERSION) return;
    const servers = without.slice(0, MAX_NAMED_SERVERS).map(({server}) => ({
      name: server.name,
      routers: chooseWarmUpRouters(known, server.name),
    }));
    this.#isNaming = true;
    try {
      await proposer.propose(WARM_UP_ROUTERS_COMMAND, {servers});
    } finally {
      this.#isNaming = false;
    }
  }

  #withoutRouters(now: number): readonly DirectServerRecord[] {
    const {machine} = this.#deps;
    const timeMs = machine.time.stamp(now);
    return machine.directServers.list().filter(record => {
      if (record.leaving || hasWarmUpRouters(record)) return false;
      const {availabilityZone} = record.server;
      const zoneReturn = machine.evacuations.lastReturn(availabilityZone);
      const returnedAtMs = zoneReturn?.atMs ?? Number.NEGATIVE_INFINITY;
      return (
        timeMs - record.joinedAtMs >= NAMING_DELAY_MS &&
        timeMs - returnedAtMs >= ZONE_ROUTERS_MS
      );
    });
  }

  /** @returns running routers; all known ones if these are too few */
  #known(now: number): readonly string[] {
    const {convergence} = this.#deps;
    const recent = convergence.namesOf(ROUTER_ROLE, now - RECENT_MS);
    return recent.length >= WANTED_ROUTERS
      ? recent
      : convergence.namesOf(ROUTER_ROLE);
  }
}
