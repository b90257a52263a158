/**
 * The work of one control member while it leads: it rebuilds the registry from
 * the replicated log, sets the limits, and removes servers whose leases expire.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';
import {type Clock, type Logger, ServerPauses} from '@lovagepond/core';
import {
  collectHeldContexts,
  type HeldContextsReader,
} from './context_inventory.js';
import {LIMITS_COMMAND} from './control_commands.js';
import {type ControlSettings} from './control_settings.js';
import {type ControlStateMachine, pickLimits} from './control_state_machine.js';
import {type DirectServers} from './direct_servers.js';
import {type MembershipRegistry} from './membership_registry.js';
import {type OrderDelivery} from './order_delivery.js';
import {type Proposer} from './proposer.js';
import {
  type ReadingReportLog,
  type ReadingReport,
} from './reading_report_log.js';

/** Lets gateways subscribe and be confirmed first; milliseconds. */
const INVENTORY_DELAY_MS = 150;

export interface LeadershipDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: ControlSettings;
  readonly machine: ControlStateMachine;
  readonly node: ConsensusNode;
  readonly proposer: Proposer;
  readonly registry: MembershipRegistry;
  readonly directServers: DirectServers;
  readonly delivery: OrderDelivery;
  readonly readings: ReadingReportLog;
  readonly readHeldContexts?: HeldContextsReader;
  /** Called when this member has taken over the registry. */
  readonly onTakenOver: () => void;
  /** Called with each engine's part of the context inventory. */
  readonly onReport: (report: ReadingReport) => void;
}

/** Runs the leader's work, in each term in which this member leads. */
export class ControlLeadership {
  readonly #deps: LeadershipDependencies;
  readonly #pauses = new ServerPauses();
  #term: number | undefined;
  #takingOver = false;

  constructor(deps: LeadershipDependencies) {
    this.#deps = deps;
  }

  /** The term in which the registry was taken over; undefined before that. */
  get term(): number | undefined {
    return this.#term;
  }

  /**
   * Takes over leadership once this member has applied all entries that former
   * leaders committed.
   *
   * @param term the term in which this member was elected
   */
  async takeOver(term: number): Promise<void> {
    if (this.#takingOver) return;
    this.#takingOver = true;
    try {
      await this.#takeOverOnce(term);
    } finally {
      this.#takingOver = false;
    }
  }

  /** Ends the leader's work: another member leads, or none. */
  end(): void {
    this.#term = undefined;
  }

  /**
   * Removes servers whose leases have expired, and refreshes order delivery.
   *
   * @param now monotonic milliseconds
   */
  async tick(now: number): Promise<void> {
    const {registry, directServers, delivery, machine} = this.#deps;
    const dropping = directServers.tick(registry.tick(now), now);
    delivery.refresh(machine.orders.waiting(), server => registry.has(server));
    await dropping;
  }

  async #takeOverOnce(term: number): Promise<void> {
    const {proposer, node, directServers, registry, clock, machine} =
      this.#deps;
    if (!(await proposer.confirm())) return;
    if (!(await this.#setLimits())) return;
    const {role, term: current} = node.status();
    if (role !== MEMBER_ROLE.LEADER || current !== term) return;
    const replicated = directServers.replicatedServers();
    registry.takeOver(term, clock.now(), replicated, server =>
      machine.wantedStateOf(server),
    );
    this.#term = term;
    this.#deps.log.info('control leads', {term});
    this.#deps.onTakenOver();
    if (this.#deps.readings.isEmpty) this.#scheduleInventory(term);
  }

  /** Schedules the inventory for when gateways have begun to serve requests. */
  #scheduleInventory(term: number): void {
    setTimeout(() => {
      if (this.#term === term) this.#takeInventory();
    }, INVENTORY_DELAY_MS).unref();
  }

  /** Replicates the leader's limits, so that all members use the same. */
  async #setLimits(): Promise<boolean> {
    const {machine, proposer, settings} = this.#deps;
    const limits = pickLimits(settings);
    if (JSON.stringify(limits) === JSON.stringify(machine.limits)) return true;
    const answer = await proposer.propose(LIMITS_COMMAND, limits);
    return answer.kind === 'committed';
  }

  /** After a stop of all processes, only engines know their cached contexts. */
  #takeInventory(): void {
    const {readHeldContexts, machine, clock, log, onReport} = this.#deps;
    if (!readHeldContexts) return;
    this.#pauses.expire(clock.now());
    const {content} = machine.configuration.current.read();
    const engines = content.pools.filter(({kind}) => kind === 'engine');
    const pools = new Set(engines.map(({name}) => name));
    const servers = machine.directServers.list().map(({server}) => server);
    collectHeldContexts(
      servers.filter(({pool}) => pools.has(pool)),
      {readHeldContexts, clock, log, pauses: this.#pauses, onReport},
    ).catch((err: unknown) => {
      log.warn('context inventory failed', {message: String(err)});
    });
  }
}
