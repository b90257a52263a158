/**
 * Unary calls of the sidecar to control. Each goes to the member that answered
 * last, and switches to the leader that an answer names, or to another member
 * if no answer comes.
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import {ControlAddresses, type Random} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {ClientPool} from './sidecar_client_pool.js';
import {type ClaimAnswer} from './sidecar_claims.js';
import {type SidecarSettings} from './sidecar_settings.js';

const {v1} = lovagepond;

type AnnounceResponse = lovagepond.v1.AnnounceResponse;

/** An answer that may name the current leader. */
interface LeaderHint {
  readonly leader?: string | null;
}

export class SidecarControlLink {
  readonly #addresses: ControlAddresses;
  readonly #clients: ClientPool;
  #leader = '';

  /**
   * @param settings the sidecar's settings
   * @param random selects the member to call next
   */
  constructor(settings: SidecarSettings, random: Random) {
    this.#addresses = new ControlAddresses(settings.controlAddresses, random);
    this.#clients = new ClientPool(settings.controlTimeoutMs);
  }

  /** @returns `host:port` of the member that is called next */
  get address(): string {
    return this.#leader || this.#addresses.current;
  }

  /** @param addresses `host:port` of all control members */
  updateMembers(addresses: readonly string[]): void {
    this.#addresses.setDiscovered(addresses);
  }

  /**
   * @param request the announcement
   * @returns the answer; undefined when none came
   */
  async announce(
    request: lovagepond.v1.AnnounceRequest.$Properties,
  ): Promise<AnnounceResponse | undefined> {
    const message = new v1.AnnounceRequest(request);
    const answer = await this.#call(CONTROL_SERVICE.announce, message);
    return answer && new v1.AnnounceResponse(answer);
  }

  /**
   * @param request the claim
   * @returns the ledger's answer; undefined when the claim must be sent again
   */
  async claim(
    request: lovagepond.v1.ClaimRequest.$Properties,
  ): Promise<ClaimAnswer | undefined> {
    const message = new v1.ClaimRequest(request);
    const answer = await this.#call(CONTROL_SERVICE.claim, message);
    if (!answer || answer.outcome === 'notLeader') return undefined;
    return new v1.ClaimResponse(answer);
  }

  /**
   * @param request the outcome of a claimed call
   * @returns true when the ledger has recorded the outcome
   */
  async record(
    request: lovagepond.v1.RecordRequest.$Properties,
  ): Promise<boolean> {
    const message = new v1.RecordRequest(request);
    const answer = await this.#call(CONTROL_SERVICE.record, message);
    return answer?.recorded ?? false;
  }

  /** @param outcome how an order ended */
  async reportOrder(
    outcome: lovagepond.v1.OrderOutcome.$Properties,
  ): Promise<void> {
    const message = new v1.OrderOutcome(outcome);
    await this.#call(CONTROL_SERVICE.reportOrder, message);
  }

  /** @param report the revision in force at this node */
  async reportConvergence(
    report: lovagepond.v1.ConvergenceReport.$Properties,
  ): Promise<void> {
    const message = new v1.ConvergenceReport(report);
    await this.#call(CONTROL_SERVICE.reportConvergence, message);
  }

  close(): void {
    this.#clients.close();
  }

  async #call<Req, Res extends object>(
    method: MethodDefinition<Req, Res>,
    request: Req,
  ): Promise<Res | undefined> {
    const address = this.address;
    if (!address) return undefined;
    const answer = await this.#clients.call(address, method, request);
    this.#updateTarget(address, answer as LeaderHint | undefined);
    return answer;
  }

  #updateTarget(callee: string, answer: LeaderHint | undefined): void {
    if (callee !== this.address) return;
    if (answer === undefined) {
      if (callee === this.#addresses.current) this.#addresses.selectNext();
      this.#leader = '';
      return;
    }
    this.#addresses.noteContact();
    if (answer.leader) this.#leader = answer.leader;
  }
}
