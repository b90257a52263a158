/**
 * Forming a group, or joining the existing one.
 *
 * A host that lost its disk must not form a second group beside its former one.
 * So only one host may form a group: the seed with the lowest address among
 * those with a disk, once all other seeds replied in the same round that they
 * belong to no group. If no seed has a disk, the seed with the lowest address
 * appoints one host with a disk, and never another one.
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

/** Interface of the member to its formation. */
export interface FormationView {
  readonly id: MemberId;
  readonly address: string;
  /** Seed addresses, which are configured at all hosts for the first start. */
  readonly peers: readonly string[];
  readonly helloIntervalMs: number;
  readonly mayForm: boolean;
  /** True if this host has no disk. */
  readonly observer: boolean;
  isBlank(): boolean;
  /**
   * True if this member belongs to a group but has long had no leader contact,
   * so that it may have been removed.
   */
  hasLostLeader(now: number): boolean;
  isLeading(): boolean;
  members(): MemberList;
  /** True if this host leads and got a reply within an election timeout. */
  isActive(id: MemberId): boolean;
}

/** An action for the node to perform. */
export type FormationAction =
  | {
      readonly kind: 'send';
      readonly address: string;
      readonly message: FormationMessage;
    }
  | {readonly kind: 'bootstrap'; readonly members: MemberList}
  /** A host that is not a member asks to join. */
  | {readonly kind: 'join'; readonly hello: HelloRequest};

/** Round of a forwarded join request; the rounds of a host start at 1. */
export const FORWARDED_ROUND = 0;

/**
 * Interval of a leader's announcements to hosts that do not reply, even those
 * that never return, in milliseconds. It is short compared with the second that
 * all hosts need to serve again after a restart of the fleet.
 */
const ANNOUNCEMENT_INTERVAL_MS = 100;

/** Forms or joins a group while this host belongs to none. */
export class Formation {
  readonly #view: FormationView;
  /** Seeds other than this host. */
  readonly #otherSeeds: readonly string[];
  /** Hosts that replied in this round that they belong to no group. */
  readonly #blankPeers = new Map<string, Member>();
  /** Addresses of hosts that reported that they have no disk. */
  readonly #observers = new Set<string>();
  /** Members that announced themselves while this host had no group. */
  readonly #announced = new Set<string>();
  #actions: FormationAction[] = [];
  #round = 0;
  #nextHello = -Infinity;
  #nextAnnouncement = -Infinity;
  #appointed: MemberId | undefined;

  /** @param view the member that forms or joins a group */
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

  /** Addresses to which callers are redirected while this host has no group. */
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

  /** @param message a hello from another host */
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

  /** @param message a reply to a hello of this host */
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
   * Announces this leader to seeds and to members that do not reply. Hosts with
   * empty storage know only the seeds, which may be empty too: after a restart
   * of all hosts they would only exchange hellos until the leader removed their
   * previous identities.
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
   * At most one host is ever appointed, even if that host never replies again:
   * a second appointment could result in a second group.
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
