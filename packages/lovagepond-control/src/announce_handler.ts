/**
 * Handles the announcements of sidecars and routers at the leader.
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
import {ROUTER_ROLE} from './subscription_feed.js';
import {readAnnouncement} from './wire_utils.js';

const {v1} = lovagepond;

type WireAnnounce = lovagepond.v1.AnnounceRequest.$Properties;
type WireAnswer = lovagepond.v1.AnnounceResponse;

/**
 * Floor of a backend server that has completed no order: below every fencing
 * token, but not 0, which stands for an unknown floor.
 */
const MIN_FLOOR = 1;

export interface AnnounceHandlerDependencies {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly registry: MembershipRegistry;
  readonly convergence: ConvergenceTable;
  readonly delivery: OrderDelivery;
  readonly proposer: Proposer;
  readonly leaseMs: number;
  /** @returns true once the registry was initialized for this term */
  readonly hasTakenOver: () => boolean;
}

export class AnnounceHandler {
  readonly #deps: AnnounceHandlerDependencies;

  constructor(deps: AnnounceHandlerDependencies) {
    this.#deps = deps;
  }

  /**
   * @param req the announcement
   * @returns the response; only the leader accepts an announcement
   */
  async handle(req: WireAnnounce): Promise<WireAnswer> {
    if (!this.#canServe()) return this.#refuse();
    if (req.role === ROUTER_ROLE) return this.#answerRouter(req);
    if (!(await this.#registerIncarnation(req))) return this.#refuse();
    const isFloorConfirmed = await this.#confirmFloor(req);
    // Leadership may have been lost during the quorum round trips.
    if (!this.#canServe()) return this.#refuse();
    return this.#accept(req, isFloorConfirmed);
  }

  #canServe(): boolean {
    return this.#deps.proposer.leads() && this.#deps.hasTakenOver();
  }

  /**
   * Registers a new incarnation in the ledger before the sidecar accepts work.
   * The registration settles the open claims of the previous incarnation.
   */
  async #registerIncarnation(req: WireAnnounce): Promise<boolean> {
    const server = req.backendServer ?? '';
    const incarnation = req.incarnation ?? '';
    const {machine, proposer} = this.#deps;
    if (machine.ledger.currentIncarnation(server) === incarnation) return true;
    const answer = await proposer.propose<
      IncarnationPayload,
      IncarnationResult
    >(INCARNATION_COMMAND, {server, incarnation});
    return answer.kind === 'committed' && answer.value.accepted;
  }

  /**
   * Confirms leadership with a quorum when a restarted sidecar requests its
   * fencing floor, that is, announces floor 0. A deposed leader could return a
   * floor below the token of an order that was delivered in the meantime.
   *
   * @returns true when the sidecar has its floor already, or may be sent it
   */
  async #confirmFloor(req: WireAnnounce): Promise<boolean> {
    if ((req.fencingFloor ?? 0) > 0) return true;
    return this.#deps.proposer.confirm();
  }

  #accept(req: WireAnnounce, isFloorConfirmed: boolean): WireAnswer {
    const {machine, registry, convergence, delivery, clock} = this.#deps;
    const now = clock.now();
    const announcement = readAnnouncement(req);
    const wanted = machine.wantedStateOf(announcement);
    registry.announce(announcement, wanted, now);
    convergence.report(announcement.name, 'sidecar', req.revision ?? 0, now);
    const poolMean = registry.poolMean(announcement.pool, now);
    const fencingFloor = Math.max(
      MIN_FLOOR,
      machine.orders.floorOf(announcement.name),
    );
    return new v1.AnnounceResponse({
      accepted: true,
      leaseMs: this.#deps.leaseMs,
      poolMeanTokens: poolMean.meanTokens,
      poolMeanRunningTokens: poolMean.meanRunningTokens,
      poolMeanAgeMs: Math.round(poolMean.ageMs),
      poolReadyServers: poolMean.readyServers,
      revision: machine.configuration.current.read().revision,
      wantedState: wanted,
      orders: delivery.ordersFor(announcement.name).map(toWireOrder),
      fencingFloor: isFloorConfirmed ? fencingFloor : 0,
      fencingFloorKnown: isFloorConfirmed,
    });
  }

  #answerRouter(req: WireAnnounce): WireAnswer {
    const {machine, convergence, clock} = this.#deps;
    const node = req.backendServer ?? '';
    convergence.report(node, ROUTER_ROLE, req.revision ?? 0, clock.now());
    const {revision} = machine.configuration.current.read();
    return new v1.AnnounceResponse({accepted: true, revision});
  }

  #refuse(): WireAnswer {
    const leader = this.#deps.proposer.leaderAddress();
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
