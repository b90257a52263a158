/**
 * The sidecar's calls to control: each goes to the member that answered last,
 * and moves on to the leader it names or to the next member.
 */
import {type MethodDefinition} from '@grpc/grpc-js';
import {ControlAddresses, type Random} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {SidecarCalls} from './sidecar_calls.js';
import {type ClaimAnswer} from './sidecar_claims.js';
import {type SidecarSettings} from './sidecar_settings.js';

const {v1} = lovagepond;

type AnnounceResponse = lovagepond.v1.AnnounceResponse;

/** Answers that may name the leader to ask instead. */
interface LeaderHint {
  readonly leader?: string | null;
}

/** Unary calls to control. */
export class SidecarControlLink {
  readonly #addresses: ControlAddresses;
  readonly #calls: SidecarCalls;
  #leader = '';

  /**
   * @param settings the sidecar's settings
   * @param random draws the member to ask next
   */
  constructor(settings: SidecarSettings, random: Random) {
    this.#addresses = new ControlAddresses(settings.controlAddresses, random);
    this.#calls = new SidecarCalls(settings.controlTimeoutMs);
  }

  /** @returns `host:port` of the member asked next */
  get address(): string {
    return this.#leader || this.#addresses.current;
  }

  /** @param addresses `host:port` of all members of control */
  learnMembers(addresses: readonly string[]): void {
    this.#addresses.setDiscovered(addresses);
  }

  /**
   * @param request what is announced
   * @returns the answer, or undefined when none came
   */
  async announce(
    request: lovagepond.v1.AnnounceRequest.$Properties,
  ): Promise<AnnounceResponse | undefined> {
    const message = new v1.AnnounceRequest(request);
    const answer = await this.#ask(CONTROL_SERVICE.announce, message);
    return answer && new v1.AnnounceResponse(answer);
  }

  /**
   * @param request who claims what
   * @returns the ledger's answer, or undefined when it is to be asked again
   */
  async claim(
    request: lovagepond.v1.ClaimRequest.$Properties,
  ): Promise<ClaimAnswer | undefined> {
    const message = new v1.ClaimRequest(request);
    const answer = await this.#ask(CONTROL_SERVICE.claim, message);
    if (!answer || answer.outcome === 'notLeader') return undefined;
    return new v1.ClaimResponse(answer);
  }

  /**
   * @param request what became of a claimed call
   * @returns true when the outcome stands in the ledger
   */
  async record(
    request: lovagepond.v1.RecordRequest.$Properties,
  ): Promise<boolean> {
    const message = new v1.RecordRequest(request);
    const answer = await this.#ask(CONTROL_SERVICE.record, message);
    return answer?.recorded ?? false;
  }

  /** @param outcome how an order ended */
  async reportOrder(
    outcome: lovagepond.v1.OrderOutcome.$Properties,
  ): Promise<void> {
    const message = new v1.OrderOutcome(outcome);
    await this.#ask(CONTROL_SERVICE.reportOrder, message);
  }

  /** @param report which revision this node holds */
  async reportConvergence(
    report: lovagepond.v1.ConvergenceReport.$Properties,
  ): Promise<void> {
    const message = new v1.ConvergenceReport(report);
    await this.#ask(CONTROL_SERVICE.reportConvergence, message);
  }

  /** Closes all connections. */
  close(): void {
    this.#calls.close();
  }

  async #ask<Req, Res extends object>(
    method: MethodDefinition<Req, Res>,
    request: Req,
  ): Promise<Res | undefined> {
    const address = this.address;
    if (!address) return undefined;
    const answer = await this.#calls.call(address, method, request);
    this.#follow(address, answer as LeaderHint | undefined);
    return answer;
  }

  #follow(asked: string, answer: LeaderHint | undefined): void {
    if (asked !== this.address) return;
    if (answer === undefined) {
      if (asked === this.#addresses.current) this.#addresses.selectNext();
      this.#leader = '';
      return;
    }
    this.#addresses.noteContact();
    if (answer.leader) this.#leader = answer.leader;
  }
}
