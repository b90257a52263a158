/**
 * Puts a new member in an old one's place, one change after the other.
 */
import {type MemberChange} from './consensus_members.js';
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
  /** True when the member has been silent long enough to be replaced. */
  isLost(id: MemberId): boolean;
  /** Hosts at new addresses take the places of lost voters. */
  readonly openMembership: boolean;
  /** True when a host at the address may join by itself. */
  mayJoin(address: string): boolean;
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
   * Lets a host with an empty data folder in, in place of the identity that
   * its address had. That identity can't come back: its address is taken.
   *
   * @param id identity of the new member
   * @param address where it is reached
   */
  join(id: MemberId, address: string): void {
    const {role, members} = this.#view.status();
    if (role !== MEMBER_ROLE.LEADER || this.#joining.size > 0) return;
    if (!this.#view.mayJoin(address)) return;
    const others = members.filter(member => member.id !== id);
    const old = this.#findFormer(others, address);
    if (!old && this.#awaitsCertainty(others)) return;
    this.#joining.add(id);
    void this.start(old?.id, id, address).finally(() => {
      this.#joining.delete(id);
    });
  }

  /**
   * A host at a new address takes the place of a voter that doesn't answer:
   * else each lost host would raise the majority needed for good, until the
   * hosts that are left can't make one.
   */
  #findFormer(others: MemberList, address: string): Member | undefined {
    const former = others.find(member => member.address === address);
    if (former || !this.#view.openMembership) return former;
    return others.find(({id, voter}) => voter && this.#view.isLost(id));
  }

  /** Whether a silent voter is lost shows soon: the newcomer waits so long. */
  #awaitsCertainty(others: MemberList): boolean {
    if (!this.#view.openMembership) return false;
    return others.some(({id, voter}) => voter && !this.#view.isActive(id));
  }

  /** To be called often: tells who has caught up, and goes on after a crash. */
  tick(): void {
    const {role, members} = this.#view.status();
    const isLeading = role === MEMBER_ROLE.LEADER;
    const unfinished = members.find(
      (member, at) => !member.voter || isSuccessor(members, member, at),
    );
    if (unfinished) this.join(unfinished.id, unfinished.address);
    this.#settle(waiter => !isLeading || this.#view.isCaughtUp(waiter.id));
    this.#resumeTickWaiters();
  }

  /** Gives up what is under way. */
  stop(): void {
    this.#settle(() => true);
    this.#resumeTickWaiters();
  }

  #settle(isDone: (waiter: Waiter) => boolean): void {
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
