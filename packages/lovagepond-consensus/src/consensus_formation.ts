/**
 * How hosts without a group form one, or join the one there is.
 *
 * A host whose disk was emptied must not form a second group beside the one
 * that it has forgotten. So only one host may form a group: the seed with the
 * lowest address among those that have a disk, and only after every other seed
 * said in the same round that it remembers none. When one of them doesn't
 * answer, it waits. When no seed has a disk, the lowest of them appoints one
 * host that has, and never another.
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
  /** The seeds: hosts that are told to all at the first start. */
  readonly peers: readonly string[];
  readonly helloIntervalMs: number;
  readonly mayForm: boolean;
  /** This host has no disk. */
  readonly observer: boolean;
  isBlank(): boolean;
  /** True when it remembers a group that seems to have forgotten it. */
  hasLostLeader(now: number): boolean;
  isLeading(): boolean;
  members(): MemberList;
  /** True when this host leads and the member answered lately. */
  isActive(id: MemberId): boolean;
}

/** Something for the shell to do. */
export type FormationAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly message: FormationMessage;
    }
  | {readonly kind: 'bootstrap'; readonly members: MemberList}
  /** A host that is no member wants to be one. */
  | {readonly kind: 'join'; readonly hello: HelloRequest};

/** Round of a wish that a member passed on; a host's own begin with 1. */
export const FORWARDED_ROUND = 0;

/**
 * Time between two introductions of a leader to the hosts that it doesn't hear,
 * milliseconds: short against the second that it takes until all hosts serve
 * again after a stop of all. Some of these hosts may be gone for good.
 */
const ANNOUNCEMENT_INTERVAL_MS = 100;

/** Forms or joins a group while there is none that counts this host in. */
export class Formation {
  readonly #view: FormationView;
  /** The other seeds. */
  readonly #otherSeeds: readonly string[];
  /** Hosts that said in this round that they remember no group. */
  readonly #blankPeers = new Map<string, Member>();
  /** Addresses of hosts that said that they have no disk. */
  readonly #observers = new Set<string>();
  /** Members that said so, while this host knew of no group. */
  readonly #announced = new Set<string>();
  #actions: FormationAction[] = [];
  #round = 0;
  #nextHello = -Infinity;
  #nextAnnouncement = -Infinity;
  #appointed: MemberId | undefined;

  /** @param view the member that forms or joins */
  constructor(view: FormationView) {
    this.#view = view;
    this.#otherSeeds = view.peers.filter(peer => peer !== view.address);
  }

  /** @returns the actions collected since the last call */
  takeActions(): readonly FormationAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  /**
   * Members that said that they are there while this host remembers no group:
   * others that ask it can be sent to them.
   */
  get announcedMembers(): readonly string[] {
    return this.#view.isBlank() ? [...this.#announced] : [];
  }

  /** @param now monotonic milliseconds */
  tick(now: number): void {
    if (this.#view.isLeading()) this.#announce(now);
    const blank = this.#view.isBlank();
    if (!blank && !this.#view.hasLostLeader(now)) return;
    if (now < this.#nextHello) return;
    this.#nextHello = now + this.#view.helloIntervalMs;
    this.#round += 1;
    this.#blankPeers.clear();
    const known = this.#view.members().map(({address}) => address);
    const targets = new Set([
      ...this.#otherSeeds,
      ...this.#announced,
      ...known,
    ]);
    targets.delete(this.#view.address);
    this.#sendHello(targets, {blank, joins: true});
    this.#bootstrapWhenAllBlank();
  }

  /** @param message a host says that it is there */
  onHello(message: HelloRequest): void {
    const {id, address, observer} = this.#view;
    const blank = this.#view.isBlank();
    const {from: to, round, fromAddress} = message;
    const appoints = blank && this.#appoint(message);
    const reply = {from: id, fromAddress: address, to, blank, round};
    this.#actions.push({
      kind: 'send',
      address: fromAddress,
      message: {kind: 'helloReply', ...reply, observer, appoints},
    });
    if (blank && !message.blank) this.#announced.add(fromAddress);
    if (blank || !message.joins) return;
    this.#actions.push({kind: 'join', hello: message});
  }

  /** @param message the answer to this host's question */
  onHelloReply(message: HelloReply): void {
    const {id} = this.#view;
    if (message.to !== id || message.round !== this.#round) return;
    if (!message.blank || !this.#view.isBlank()) return;
    const {from, fromAddress, observer} = message;
    const member = {id: from, address: fromAddress, voter: true};
    if (observer) this.#observers.add(fromAddress);
    this.#blankPeers.set(fromAddress, member);
    if (message.appoints && this.#mayFormGroup) this.#bootstrap([]);
    else this.#bootstrapWhenAllBlank();
  }

  get #mayFormGroup(): boolean {
    return this.#view.mayForm && !this.#view.observer;
  }

  /**
   * Hosts that started without a memory know the seeds only, and the seeds may
   * be just such hosts: after a stop of all, those without a disk would ask each
   * other for the group until the leader gave them up.
   */
  #announce(now: number): void {
    if (now < this.#nextAnnouncement) return;
    this.#nextAnnouncement = now + ANNOUNCEMENT_INTERVAL_MS;
    const members = this.#view.members();
    const active = members.filter(({id}) => this.#view.isActive(id));
    const known = members.map(({address}) => address);
    const targets = new Set([...this.#otherSeeds, ...known]);
    for (const {address} of active) targets.delete(address);
    this.#sendHello(targets, {blank: false, joins: false});
  }

  #sendHello(
    addresses: Iterable<string>,
    flags: Pick<HelloRequest, 'blank' | 'joins'>,
  ): void {
    const {id: from, address: fromAddress, observer} = this.#view;
    const round = this.#round;
    const hello = {...flags, from, fromAddress, observer, round};
    for (const address of addresses) {
      const message = {kind: 'hello' as const, ...hello};
      this.#actions.push({kind: 'send', address, message});
    }
  }

  /**
   * A second appointment could make a second group, so there is none, even if
   * the first host is never heard of again.
   */
  #appoint({from, blank, observer}: HelloRequest): boolean {
    const {address, mayForm, peers} = this.#view;
    if (!mayForm || !blank || observer) return false;
    if (!this.#view.observer || !peers.includes(address)) return false;
    const isLowest = !this.#otherSeeds.some(other => other < address);
    const hasDisk = this.#otherSeeds.some(other => !this.#observers.has(other));
    if (!isLowest || hasDisk) return false;
    this.#appointed ??= from;
    return this.#appointed === from;
  }

  #bootstrapWhenAllBlank(): void {
    const {address, peers} = this.#view;
    if (!this.#mayFormGroup || !peers.includes(address)) return;
    if (!this.#otherSeeds.every(other => this.#blankPeers.has(other))) return;
    const seeds = this.#otherSeeds.filter(other => !this.#observers.has(other));
    if (seeds.some(other => other < address)) return;
    this.#bootstrap(seeds.flatMap(seed => this.#blankPeers.get(seed) ?? []));
  }

  #bootstrap(others: MemberList): void {
    const {id, address} = this.#view;
    const members = [{id, address, voter: true}, ...others];
    this.#actions.push({kind: 'bootstrap', members});
  }
}
