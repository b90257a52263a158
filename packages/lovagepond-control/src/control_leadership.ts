/**
 * What one control member does while it leads: takes the registry over from the
 * log, sets the limits, and drops servers that fell silent.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';
import {type Clock, type Logger} from '@lovagepond/core';
import {type HeldContextsReader, takeInventory} from './context_inventory.js';
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

/**
 * Time that gateways have to subscribe and to be confirmed before engines are asked
 * what they hold, milliseconds.
 */
const INVENTORY_DELAY_MS = 150;

/** What leading is done with. */
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
  /** Called once the registry has been taken over. */
  readonly onTakenOver: () => void;
  readonly onReport: (report: ReadingReport) => void;
}

/** One member's leading, term by term. */
export class ControlLeadership {
  readonly #deps: LeadershipDependencies;
  #term: number | undefined;
  #takingOver = false;

  /** @param deps what leading is done with */
  constructor(deps: LeadershipDependencies) {
    this.#deps = deps;
  }

  /** The term in which the registry was taken over; undefined before that. */
  get term(): number | undefined {
    return this.#term;
  }

  /** Begins to lead once all that former leaders committed is applied. */
  async takeOver(term: number): Promise<void> {
    if (this.#takingOver) return;
    this.#takingOver = true;
    try {
      await this.#takeOverOnce(term);
    } finally {
      this.#takingOver = false;
    }
  }

  /** Another member leads, or none. */
  end(): void {
    this.#term = undefined;
  }

  /**
   * Drops servers that fell silent, and looks after orders.
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
    const {proposer, node, directServers, registry, clock} = this.#deps;
    if (!(await proposer.confirm())) return;
    if (!(await this.#setLimits())) return;
    const {role, term: current} = node.status();
    if (role !== MEMBER_ROLE.LEADER || current !== term) return;
    registry.takeOver(term, clock.now(), directServers.known());
    this.#term = term;
    this.#deps.log.info('control leads', {term});
    this.#deps.onTakenOver();
    if (this.#deps.readings.isEmpty) this.#scheduleInventory(term);
  }

  /** What engines hold saves reading; gateways must first be able to serve. */
  #scheduleInventory(term: number): void {
    setTimeout(() => {
      if (this.#term === term) this.#takeInventory();
    }, INVENTORY_DELAY_MS).unref();
  }

  /** The leader's settings are in force at all members. */
  async #setLimits(): Promise<boolean> {
    const {machine, proposer, settings} = this.#deps;
    const limits = pickLimits(settings);
    if (JSON.stringify(limits) === JSON.stringify(machine.limits)) return true;
    const answer = await proposer.propose(LIMITS_COMMAND, limits);
    return answer.kind === 'committed';
  }

  /** Routers learn what engines hold from nobody else after a full stop. */
  #takeInventory(): void {
    const {readHeldContexts, machine, log, onReport} = this.#deps;
    if (!readHeldContexts) return;
    const {content} = machine.configuration.current.read();
    const engines = content.pools.filter(({kind}) => kind === 'engine');
    const pools = new Set(engines.map(({name}) => name));
    const servers = machine.directServers.list().map(({server}) => server);
    takeInventory(
      servers.filter(({pool}) => pools.has(pool)),
      {readHeldContexts, log, onReport},
    ).catch((err: unknown) => {
      log.warn('contexts not asked for', {message: String(err)});
    });
  }
}
