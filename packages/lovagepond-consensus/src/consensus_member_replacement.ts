/**
 * Replacement of members by a sequence of single-server changes.
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

/** Interface of the member to its replacements. */
export interface ReplacementView {
  change(change: MemberChange): Promise<ChangeOutcome>;
  status(): ConsensusStatus;
  isCaughtUp(id: MemberId): boolean;
  isActive(id: MemberId): boolean;
  /** Time since the last reply of a member, milliseconds. */
  timeSinceReplyMs(id: MemberId): number;
  /** See {@link ConsensusSettings.toleratedLosses}. */
  readonly toleratedLosses: number | undefined;
  /** True if hosts at new addresses may replace lost voters. */
  readonly openMembership: boolean;
  /** True if a host at the address may join without an operator. */
  mayJoin(address: string): boolean;
}

/** A host that asks to join. */
export interface JoiningHost {
  readonly id: MemberId;
  readonly address: string;
  /** True if its data folder is empty; false if it was a member before. */
  readonly blank: boolean;
  /** True if the host has no disk and never votes. */
  readonly observer: boolean;
}

interface Waiter {
  readonly id: MemberId;
  resolve(isCaughtUp: boolean): void;
}

/** True if an earlier identity at the same address is still a member. */
function isSuccessor(members: MemberList, member: Member, at: number): boolean {
  const before = members.slice(0, at);
  return before.some(({address}) => address === member.address);
}

function findAt(members: MemberList, address: string): Member | undefined {
  return members.find(member => member.address === address);
}

/** True for a learner that is to be promoted once it has caught up. */
function isLearner({voter, observer}: Member): boolean {
  return !voter && !observer;
}

/** Runs replacements while the member leads. */
export class MemberReplacement {
  readonly #view: ReplacementView;
  readonly #joining = new Set<MemberId>();
  #waiters: Waiter[] = [];
  #tickWaiters: (() => void)[] = [];

  /** @param view the leading member */
  constructor(view: ReplacementView) {
    this.#view = view;
  }

  /**
   * @param oldId identity of the member to remove; undefined to only add one
   * @param newId identity of the new member
   * @param address address of the new member
   * @returns the first outcome other than `committed`, or else the last one
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
    // An unresponsive voter is removed first: with both it and the new voter,
    // each commit would need one more acknowledgement. A responsive one is
    // removed last: without it the group would briefly tolerate one failure
    // less.
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
   * Lets a host join. A host with an empty data folder replaces the previous
   * identity at its address, which can't return. A host with stored state was
   * removed while it was down.
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

  /** No other host may join until `work` is done. */
  #runExclusively(id: MemberId, work: () => Promise<unknown>): void {
    this.#joining.add(id);
    void work().finally(() => {
      this.#joining.delete(id);
    });
  }

  /**
   * The previous leader may have crashed after it promoted the host and before
   * it removed the previous identity at that address. That identity can't
   * return, and as a voter it would count towards each quorum.
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
   * With open membership, a host at a new address replaces a voter that no
   * longer replies. Otherwise each lost host would raise the quorum for good,
   * until the remaining hosts can't form one.
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

  /**
   * True while a voter does not reply but may still return. A host at a new
   * address waits until it is clear whether the voter is lost.
   */
  #hasUnresponsiveVoter(others: MemberList): boolean {
    if (!this.#view.openMembership) return false;
    return others.some(({id, voter}) => voter && !this.#view.isActive(id));
  }

  /**
   * Resolves waiting calls, resumes replacements that an earlier leader left
   * unfinished, and removes unresponsive members. Call it periodically.
   */
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
   * Members with stored state may join only if unresponsive members are removed
   * automatically: one that an operator removed must not return on its own.
   */
  #mayJoin({address, blank}: JoiningHost): boolean {
    if (!blank && this.#view.toleratedLosses === undefined) return false;
    return this.#view.mayJoin(address);
  }

  #removeUnresponsive(members: MemberList): void {
    const id = chooseRemoval({...this.#view, members});
    if (id !== undefined) void this.#view.change({kind: 'remove', id});
  }

  /** Ends all waiting calls without success. */
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
   * Retries at each tick while another change is pending, such as that of a
   * joining host. The wait ends, because a leader that can't commit the change
   * steps down.
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

  /** A step that was completed by an earlier call counts as committed. */
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
