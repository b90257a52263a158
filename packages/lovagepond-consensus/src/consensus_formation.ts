/**
 * How hosts with empty data folders form a group, or join the one there is.
 *
 * A host whose disk was emptied must not form a second group beside the one
 * that it has forgotten. So only one host, the one with the lowest address,
 * may form a group, and only after every other host said in the same round
 * that it remembers none. When one of them doesn't answer, it waits.
 */
import {
  type FormationMessage,
  type HelloReply,
  type HelloRequest,
} from './consensus_messages.js';
import {
  type Member,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

/** What formation reads of its member. */
export interface FormationView {
  readonly id: MemberId;
  readonly address: string;
  readonly peers: readonly string[];
  readonly helloIntervalMs: number;
  readonly mayForm: boolean;
  isBlank(): boolean;
}

/** Something for the shell to do. */
export type FormationAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly message: FormationMessage;
    }
  | {readonly kind: 'bootstrap'; readonly members: MemberList}
  /** A host with an empty data folder wants to be a member. */
  | {
      readonly kind: 'join';
      readonly id: MemberId;
      readonly address: string;
      /** Another member passed its wish on. */
      readonly isPassedOn: boolean;
    };

/** Round of a wish that a member passed on; a host's own begin with 1. */
export const PASSED_ON_ROUND = 0;

/** Forms or joins a group while the own data folder is empty. */
export class Formation {
  readonly #view: FormationView;
  readonly #others: readonly string[];
  readonly #blankPeers = new Map<string, Member>();
  #actions: FormationAction[] = [];
  #round = 0;
  #nextHello = -Infinity;

  /** @param view the member that forms or joins */
  constructor(view: FormationView) {
    this.#view = view;
    this.#others = view.peers.filter(peer => peer !== view.address);
  }

  /** @returns the actions collected since the last call */
  takeActions(): readonly FormationAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  /** @param now monotonic milliseconds */
  tick(now: number): void {
    if (!this.#view.isBlank() || now < this.#nextHello) return;
    this.#nextHello = now + this.#view.helloIntervalMs;
    this.#round += 1;
    this.#blankPeers.clear();
    const {id: from, address: fromAddress} = this.#view;
    const hello = {from, fromAddress, blank: true, round: this.#round};
    for (const address of this.#others) {
      const message = {kind: 'hello' as const, ...hello};
      this.#actions.push({kind: 'send', address, message});
    }
    this.#bootstrapWhenAllBlank();
  }

  /** @param message a host asks whether this one remembers a group */
  onHello(message: HelloRequest): void {
    const {id, address} = this.#view;
    const blank = this.#view.isBlank();
    const {from: to, round, fromAddress} = message;
    const reply = {from: id, fromAddress: address, to, blank, round};
    this.#actions.push({
      kind: 'send',
      address: fromAddress,
      message: {kind: 'helloReply', ...reply},
    });
    if (blank || !message.blank) return;
    const isPassedOn = round === PASSED_ON_ROUND;
    this.#actions.push({
      kind: 'join',
      id: to,
      address: fromAddress,
      isPassedOn,
    });
  }

  /** @param message the answer to this host's question */
  onHelloReply(message: HelloReply): void {
    const {id} = this.#view;
    if (message.to !== id || message.round !== this.#round) return;
    if (!message.blank || !this.#view.isBlank()) return;
    const {from, fromAddress} = message;
    const member = {id: from, address: fromAddress, voter: true};
    this.#blankPeers.set(fromAddress, member);
    this.#bootstrapWhenAllBlank();
  }

  #bootstrapWhenAllBlank(): void {
    const {id, address, mayForm} = this.#view;
    if (!mayForm) return;
    if (this.#others.some(other => other < address)) return;
    if (!this.#others.every(other => this.#blankPeers.has(other))) return;
    const own = {id, address, voter: true};
    const members = [own, ...this.#blankPeers.values()];
    this.#actions.push({kind: 'bootstrap', members});
  }
}
