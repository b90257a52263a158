/**
 * Answers announcements of sidecars at the leader.
 */
import {type Clock} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type OrderView} from './control_administration.js';
import {
  INCARNATION_COMMAND,
  type IncarnationPayload,
} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {type IncarnationResult} from './ledger_state.js';
import {type MembershipRegistry} from './membership_registry.js';
import {type OrderDelivery} from './order_delivery.js';
import {type Proposer} from './proposer.js';
import {readAnnouncement} from './wire_utils.js';

const {v1} = lovagepond;

type WireAnnounce = lovagepond.v1.AnnounceRequest.$Properties;
type WireAnswer = lovagepond.v1.AnnounceResponse;

/** Role of an announcement that is no backend server's. */
const ROUTER_ROLE = 'router';

/** Below every token; tells "known, and nothing was ever passed" from 0. */
const LOWEST_FLOOR = 1;

/** What the handler is built from. */
export interface AnnounceParts {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly registry: MembershipRegistry;
  readonly convergence: ConvergenceTable;
  readonly delivery: OrderDelivery;
  readonly proposer: Proposer;
  readonly leaseMs: number;
  /** @returns true once the registry has been taken over in this term */
  readonly hasTakenOver: () => boolean;
}

/** Handles Announce. */
export class AnnounceHandler {
  readonly #parts: AnnounceParts;

  constructor(parts: AnnounceParts) {
    this.#parts = parts;
  }

  /**
   * @param req the announcement
   * @returns the answer; not accepted by any other member than the leader
   */
  async handle(req: WireAnnounce): Promise<WireAnswer> {
    if (!this.#serves()) return this.#refuse();
    if (req.role === ROUTER_ROLE) return this.#answerRouter(req);
    if (!(await this.#registerIncarnation(req))) return this.#refuse();
    const floorKnown = await this.#confirmFloor(req);
    // The leadership may have ended while a majority was asked.
    if (!this.#serves()) return this.#refuse();
    return this.#accept(req, floorKnown);
  }

  #serves(): boolean {
    return this.#parts.proposer.leads() && this.#parts.hasTakenOver();
  }

  /**
   * The ledger must know a new incarnation before the sidecar takes work: only
   * then are its predecessor's open claims settled.
   */
  async #registerIncarnation(req: WireAnnounce): Promise<boolean> {
    const server = req.backendServer ?? '';
    const incarnation = req.incarnation ?? '';
    const {machine, proposer} = this.#parts;
    if (machine.ledger.currentIncarnation(server) === incarnation) return true;
    const answer = await proposer.propose<
      IncarnationPayload,
      IncarnationResult
    >(INCARNATION_COMMAND, {server, incarnation});
    return answer.kind === 'committed' && answer.value.accepted;
  }

  /**
   * A restarted sidecar asks with floor 0. It gets the floor from a leader
   * that a majority confirmed after it asked: a deposed leader would give a
   * floor below an order that has been passed on since.
   */
  async #confirmFloor(req: WireAnnounce): Promise<boolean> {
    if ((req.fencingFloor ?? 0) > 0) return true;
    return this.#parts.proposer.confirm();
  }

  #accept(req: WireAnnounce, floorKnown: boolean): WireAnswer {
    const {machine, registry, convergence, delivery, clock} = this.#parts;
    const now = clock.now();
    const said = readAnnouncement(req);
    const wanted = machine.wanted.get(said.name);
    registry.announce(said, wanted, now);
    convergence.report(said.name, 'sidecar', req.revision ?? 0, now);
    const mean = registry.poolMean(said.pool, now);
    const floor = Math.max(LOWEST_FLOOR, machine.orders.floorOf(said.name));
    return new v1.AnnounceResponse({
      accepted: true,
      leaseMs: this.#parts.leaseMs,
      poolMeanTokens: mean.meanTokens,
      poolMeanRunningTokens: mean.meanRunningTokens,
      poolMeanAgeMs: Math.round(mean.ageMs),
      poolReadyServers: mean.readyServers,
      revision: machine.configuration.current.read().revision,
      wantedState: wanted,
      orders: delivery.ordersFor(said.name).map(toWireOrder),
      fencingFloor: floorKnown ? floor : 0,
      fencingFloorKnown: floorKnown,
    });
  }

  #answerRouter(req: WireAnnounce): WireAnswer {
    const {machine, convergence, clock} = this.#parts;
    const node = req.backendServer ?? '';
    convergence.report(node, ROUTER_ROLE, req.revision ?? 0, clock.now());
    const {revision} = machine.configuration.current.read();
    return new v1.AnnounceResponse({accepted: true, revision});
  }

  #refuse(): WireAnswer {
    const leader = this.#parts.proposer.leaderAddress();
    return new v1.AnnounceResponse({accepted: false, leader});
  }
}

function toWireOrder(order: OrderView): lovagepond.v1.Order {
  return new v1.Order({
    orderId: order.orderId,
    fencingToken: order.fencingToken,
    action: order.action,
    arguments: {...order.arguments},
  });
}
