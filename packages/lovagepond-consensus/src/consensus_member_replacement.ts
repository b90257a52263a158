/**
 * Puts a new member in an old one's place, one change after the other.
 */
import {findMember, type MemberChange} from './consensus_members.js';
import {chooseRemoval, LOST_AFTER_MS} from './consensus_member_removal.js';
import {
  CHANGE_REFUSAL,
  type ChangeOutcome,
  type ConsensusStatus,
  type Member,
  MEMBER_ROLE,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

/** What replacement needs of its member. */
export interface ReplacementView {
  change(change: MemberChange): Promise<ChangeOutcome>;
  status(): ConsensusStatus;
  isCaughtUp(id: MemberId): boolean;
  isActive(id: MemberId): boolean;
  /** Time since a member's last answer, milliseconds. */
  timeSinceReplyMs(id: MemberId): number;
  /** See {@link ConsensusSettings.toleratedLosses}. */
  readonly toleratedLosses: number | undefined;
  /** Hosts at new addresses take the places of lost voters. */
  readonly openMembership: boolean;
  /** True when a host at the address may join by itself. */
  mayJoin(address: string): boolean;
}

/** A host that wants to be a member. */
export interface JoiningHost {
  readonly id: MemberId;
  readonly address: string;
  /** Its data folder is empty; else it was a member before. */
  readonly blank: boolean;
  /** It never votes. */
  readonly observer: boolean;
}

interface Waiter {
  readonly id: MemberId;
  resolve(isCaughtUp: boolean): void;
}

/** True when the identity that had the address before is still a member. */
function isSuccessor(members: MemberList, member: Member, at: number): boolean {
  const before = members.slice(0, at);
  return before.some(({address}) => address === member.address);
}

function findAt(members: MemberList, address: string): Member | undefined {
  return members.find(member => member.address === address);
}

/** It is to vote once it has caught up. */
function isLearner({voter, observer}: Member): boolean {
  return !voter && !observer;
}

/** Runs replacements while its member leads. */
export class MemberReplacement {
  readonly #view: ReplacementView;
  readonly #joining = new Set<MemberId>();
  #waiters: Waiter[] = [];
  #tickWaiters: (() => void)[] = [];

  /** @param view the member that leads */
  constructor(view: ReplacementView) {
    this.#view = view;
  }

  /**
   * @param oldId identity of the member to remove; absent to add one
   * @param newId identity of the new member
   * @param address where the new member is reached
   * @returns the first outcome that isn't a success, or the last
   */
  async start(
    oldId: MemberId | undefined,
    newId: MemberId,
    address: string,
  ): Promise<ChangeOutcome> {
    const added = await this.#change({kind: 'addLearner', id: newId, address});
    if (added.kind !== 'committed') return added;
    const isCaughtUp = await this.#waitUntilCaughtUp(newId);
    if (!isCaughtUp) return {kind: 'unknown'};
    const promote: MemberChange = {kind: 'promote', id: newId};
    if (oldId === undefined) return this.#change(promote);
    const remove: MemberChange = {kind: 'remove', id: oldId};
    // A dead voter goes first: with it and the new one the group needs one
    // more answer for each commit. A live one goes last: without it the group
    // has, for a moment, one voter less to lose.
    const changes = this.#view.isActive(oldId)
      ? [promote, remove]
      : [remove, promote];
    let outcome: ChangeOutcome = added;
    for (const change of changes) {
      outcome = await this.#change(change);
      if (outcome.kind !== 'committed') return outcome;
    }
    return outcome;
  }

  /**
   * Lets a host in: one with an empty data folder in place of the identity that
   * its address had, which can't come back, and one that was taken off the list
   * while it was away.
   *
   * @param host the host
   */
  join(host: JoiningHost): void {
    const {id, address, observer} = host;
    const {role, members} = this.#view.status();
    if (role !== MEMBER_ROLE.LEADER || this.#joining.size > 0) return;
    if (!this.#mayJoin(host)) return;
    const others = members.filter(member => member.id !== id);
    if (findMember(members, id)?.voter) {
      this.#removePredecessor(others, host);
      return;
    }
    const predecessor = this.#findPredecessor(others, host);
    if (!observer && !predecessor && this.#hasUnresponsiveVoter(others)) return;
    this.#runExclusively(id, () =>
      observer
        ? this.#admitObserver(predecessor?.id, host)
        : this.start(predecessor?.id, id, address),
    );
  }

  /** No other host is let in until the work for this one has ended. */
  #runExclusively(id: MemberId, work: () => Promise<unknown>): void {
    this.#joining.add(id);
    void work().finally(() => {
      this.#joining.delete(id);
    });
  }

  /**
   * The leader before may have crashed when it had promoted the host, and not yet
   * taken off the identity that its address had. That one can't come back, and as
   * a voter it would count against every majority.
   */
  #removePredecessor(others: MemberList, {id, address}: JoiningHost): void {
    const predecessor = findAt(others, address);
    if (!predecessor) return;
    this.#runExclusively(id, () =>
      this.#change({kind: 'remove', id: predecessor.id}),
    );
  }

  async #admitObserver(
    oldId: MemberId | undefined,
    {id, address}: JoiningHost,
  ): Promise<ChangeOutcome> {
    const add = {kind: 'addLearner', id, address, observer: true} as const;
    const added = await this.#change(add);
    if (added.kind !== 'committed' || oldId === undefined) return added;
    return this.#change({kind: 'remove', id: oldId});
  }

  /**
   * A host at a new address takes the place of a voter that doesn't answer:
   * else each lost host would raise the majority needed for good, until the
   * hosts that are left can't make one.
   */
  #findPredecessor(
    others: MemberList,
    {address, observer}: JoiningHost,
  ): Member | undefined {
    const member = findAt(others, address);
    if (member || observer || !this.#view.openMembership) return member;
    return others.find(
      ({id, voter}) =>
        voter && this.#view.timeSinceReplyMs(id) >= LOST_AFTER_MS,
    );
  }

  /** Whether a silent voter is lost shows soon: the newcomer waits so long. */
  #hasUnresponsiveVoter(others: MemberList): boolean {
    if (!this.#view.openMembership) return false;
    return others.some(({id, voter}) => voter && !this.#view.isActive(id));
  }

  /** To be called often: tells who has caught up, and goes on after a crash. */
  tick(): void {
    const {role, members} = this.#view.status();
    const isLeading = role === MEMBER_ROLE.LEADER;
    const unfinished = members.find(
      (member, at) => isLearner(member) || isSuccessor(members, member, at),
    );
    if (unfinished) this.#resumeReplacement(unfinished);
    if (isLeading) this.#removeUnresponsive(members);
    this.#resolveWaiters(
      ({id}) =>
        !isLeading ||
        this.#view.isCaughtUp(id) ||
        findMember(members, id) === undefined,
    );
    this.#resumeTickWaiters();
  }

  #resumeReplacement({id, address, observer}: Member): void {
    this.join({id, address, blank: true, observer: observer ?? false});
  }

  /**
   * A member that an operator took off must not come back by itself, so only a
   * group that takes silent members off by itself lets former ones in.
   */
  #mayJoin({address, blank}: JoiningHost): boolean {
    if (!blank && this.#view.toleratedLosses === undefined) return false;
    return this.#view.mayJoin(address);
  }

  #removeUnresponsive(members: MemberList): void {
    const id = chooseRemoval({...this.#view, members});
    if (id !== undefined) void this.#view.change({kind: 'remove', id});
  }

  /** Gives up what is under way. */
  stop(): void {
    this.#resolveWaiters(() => true);
    this.#resumeTickWaiters();
  }

  #resolveWaiters(isDone: (waiter: Waiter) => boolean): void {
    const done = this.#waiters.filter(isDone);
    this.#waiters = this.#waiters.filter(waiter => !done.includes(waiter));
    for (const {id, resolve} of done) resolve(this.#view.isCaughtUp(id));
  }

  #waitUntilCaughtUp(id: MemberId): Promise<boolean> {
    return new Promise(resolve => {
      this.#waiters.push({id, resolve});
    });
  }

  #resumeTickWaiters(): void {
    const waiters = this.#tickWaiters;
    this.#tickWaiters = [];
    for (const resume of waiters) resume();
  }

  /**
   * Waits while another change is under way, such as that of a host that joins
   * by itself: a leader that can't commit it steps down, so the wait ends.
   */
  async #changeWhenFree(change: MemberChange): Promise<ChangeOutcome> {
    for (;;) {
      const outcome = await this.#view.change(change);
      const isPending =
        outcome.kind === 'refused' &&
        outcome.reason === CHANGE_REFUSAL.CHANGE_PENDING;
      if (!isPending) return outcome;
      await new Promise<void>(resolve => this.#tickWaiters.push(resolve));
    }
  }

  /** A step that an earlier call has done counts as done. */
  async #change(change: MemberChange): Promise<ChangeOutcome> {
    const outcome = await this.#changeWhenFree(change);
    if (outcome.kind !== 'refused') return outcome;
    const {reason} = outcome;
    const isAdded = reason === CHANGE_REFUSAL.ALREADY_MEMBER;
    const isRemoved =
      change.kind === 'remove' && reason === CHANGE_REFUSAL.UNKNOWN_MEMBER;
    const index = this.#view.status().commitIndex;
    return isAdded || isRemoved ? {kind: 'committed', index} : outcome;
  }
}
