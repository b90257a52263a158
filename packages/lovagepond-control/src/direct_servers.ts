/**
 * Backend servers that announce themselves, without a sidecar.
 *
 * What a sidecar guarantees by itself has to be kept here: a server that said
 * it leaves must stay out of use although its earlier announcements may still
 * arrive, and although the leader that heard it may be lost. So leaving is
 * committed to the log before it is answered.
 */
import {type BackendServer, type Clock, SERVER_STATE} from '@lovagepond/core';
import {digestOf} from './configuration_changer.js';
import {WANTED_STATE} from './control_administration.js';
import {
  WANTED_STATE_COMMAND,
  type WantedStatePayload,
} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type MembershipRegistry} from './membership_registry.js';
import {type OperationResult} from './operation_results.js';
import {type Proposer} from './proposer.js';

/** What a server says of itself. */
export interface DirectAnnouncement {
  /** The server's name, new with each start. */
  readonly incarnation: string;
  readonly pool: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Requests that it processes at once. */
  readonly slots: number;
  readonly version: string;
  readonly models: readonly string[];
  readonly leaving: boolean;
  /** Rises with each announcement, so that a late one is recognised. */
  readonly sequence: number;
}

/** What became of an announcement. */
export type AnnouncementAnswer =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'notLeader'; readonly leader: string}
  /** It may have been committed: the server says it again. */
  | {readonly kind: 'unknown'};

/** What the class is built from. */
export interface DirectServersParts {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly registry: MembershipRegistry;
  readonly proposer: Proposer;
  /** @returns true once the registry has been taken over in this term */
  readonly hasTakenOver: () => boolean;
  /** Sends subscribers what changed, at once. */
  readonly publish: () => void;
}

/** Incarnations whose place another one took, that are remembered. */
const MAX_SUPERSEDED = 4_096;

/** Takes announcements at the leader. */
export class DirectServers {
  readonly #parts: DirectServersParts;
  readonly #sequences = new Map<string, number>();
  readonly #byAddress = new Map<string, string>();
  readonly #superseded = new Set<string>();

  constructor(parts: DirectServersParts) {
    this.#parts = parts;
  }

  /**
   * @param said the announcement
   * @returns the answer; not accepted by any other member than the leader
   */
  async announce(said: DirectAnnouncement): Promise<AnnouncementAnswer> {
    if (!this.#serves()) return this.#refuse();
    if (this.#isLate(said)) return {kind: 'accepted'};
    if (said.leaving) {
      const committed = await this.#commitLeaving(said.incarnation);
      if (committed !== 'committed') return this.#explain(committed);
      if (!this.#serves()) return this.#refuse();
    }
    this.#takePlace(said);
    this.#register(said);
    return {kind: 'accepted'};
  }

  /**
   * A server says that it is gone, or leaves without having said so before.
   *
   * @param incarnation the server
   * @returns the answer; not accepted by any other member than the leader
   */
  async remove(incarnation: string): Promise<AnnouncementAnswer> {
    if (!this.#serves()) return this.#refuse();
    const committed = await this.#commitLeaving(incarnation);
    if (committed !== 'committed') return this.#explain(committed);
    if (!this.#serves()) return this.#refuse();
    this.#parts.registry.remove(incarnation, this.#parts.clock.now());
    this.#parts.publish();
    return {kind: 'accepted'};
  }

  #serves(): boolean {
    return this.#parts.proposer.leads() && this.#parts.hasTakenOver();
  }

  #refuse(): AnnouncementAnswer {
    const leader = this.#parts.proposer.leaderAddress();
    return {kind: 'notLeader', leader};
  }

  #explain(outcome: 'notLeader' | 'unknown'): AnnouncementAnswer {
    return outcome === 'unknown' ? {kind: 'unknown'} : this.#refuse();
  }

  /** A late or resent announcement must not bring back an earlier state. */
  #isLate(said: DirectAnnouncement): boolean {
    if (this.#superseded.has(said.incarnation)) return true;
    const last = this.#sequences.get(said.incarnation) ?? -1;
    if (said.leaving) return false;
    return said.sequence <= last;
  }

  async #commitLeaving(
    server: string,
  ): Promise<'committed' | 'notLeader' | 'unknown'> {
    const {machine, proposer} = this.#parts;
    const wantedState = WANTED_STATE.DRAINING;
    if (machine.wanted.get(server) === wantedState) return 'committed';
    const answer = await proposer.propose<WantedStatePayload, OperationResult>(
      WANTED_STATE_COMMAND,
      {
        operationId: `leaving ${server}`,
        digest: digestOf([server, wantedState]),
        server,
        wantedState,
      },
    );
    return answer.kind;
  }

  /**
   * A new incarnation at an address means that the one before has ended. What
   * it sent may still arrive, held up by a partition, and would put two
   * servers at one address.
   */
  #takePlace({address, incarnation}: DirectAnnouncement): void {
    const former = this.#byAddress.get(address);
    this.#byAddress.set(address, incarnation);
    if (former === undefined || former === incarnation) return;
    this.#superseded.add(former);
    this.#sequences.delete(former);
    this.#parts.registry.remove(former, this.#parts.clock.now());
    if (this.#superseded.size <= MAX_SUPERSEDED) return;
    for (const oldest of this.#superseded) {
      this.#superseded.delete(oldest);
      return;
    }
  }

  #register(said: DirectAnnouncement): void {
    const {registry, machine, clock, publish} = this.#parts;
    const {incarnation, sequence, leaving} = said;
    this.#sequences.set(incarnation, sequence);
    const wanted = machine.wanted.get(incarnation);
    const state = leaving ? SERVER_STATE.DRAINING : SERVER_STATE.READY;
    const server: Omit<BackendServer, 'slot'> = {
      name: incarnation,
      incarnation,
      pool: said.pool,
      labels: {version: said.version},
      availabilityZone: said.availabilityZone,
      region: said.region,
      address: said.address,
      state,
      capacityTokens: 0,
      models: said.models,
      directSlots: said.slots,
    };
    const load = {runningTokens: 0, queuedTokens: 0};
    registry.announce({...server, ...load}, wanted, clock.now());
    publish();
  }
}
