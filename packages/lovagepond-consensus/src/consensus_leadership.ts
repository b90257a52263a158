/**
 * Work of a leader: replication, commits, lease and reads.
 */
import {invariant} from '@lovagepond/core';
import {sumBytes} from './consensus_log.js';
import {findMember, majorityValue} from './consensus_members.js';
import {
  type AppendReply,
  type ConsensusMessage,
  type SnapshotReply,
} from './consensus_messages.js';
import {type Outbox} from './consensus_outbox.js';
import {
  FollowerProgress,
  PROGRESS_MODE,
  type SnapshotTransfer,
} from './consensus_progress.js';
import {type Replica} from './consensus_replica.js';
import {ConfirmationRounds} from './consensus_rounds.js';
import {
  type ConsensusTimings,
  type LogEntry,
  type Member,
  type MemberId,
} from './consensus_types.js';

/** What a leadership uses of its member. */
export interface LeaderView {
  readonly id: MemberId;
  readonly address: string;
  readonly term: number;
  readonly timings: ConsensusTimings;
  readonly outbox: Outbox;
  readonly replica: Replica;
}

/**
 * Observers receive one heartbeat in this many rounds. With all heartbeats
 * sent to four observers, an idle fleet of nine entry hosts needs 68 s of CPU
 * time in a minute instead of 42 s. At this rate observers still have leader
 * contact several times before they would ask to join again.
 */
const ROUNDS_PER_OBSERVER_HEARTBEAT = 4;

/** Leadership of one member in one term. */
export class Leadership {
  readonly #view: LeaderView;
  readonly #rounds: ConfirmationRounds;
  readonly #progress = new Map<MemberId, FollowerProgress>();
  /** Index of the first entry of this term. */
  readonly #termStart: number;

  /**
   * @param view the leading member
   * @param now monotonic milliseconds
   */
  constructor(view: LeaderView, now: number) {
    this.#view = view;
    this.#rounds = new ConfirmationRounds(view.timings, now);
    this.#termStart = view.replica.log.lastIndex + 1;
    this.updateMembers(now);
  }

  /** True once an entry of this term is committed. */
  get hasCommittedInTerm(): boolean {
    return this.#view.replica.commitIndex >= this.#termStart;
  }

  /**
   * Starts tracking new members and stops tracking removed ones, after a change
   * of the member list in the log.
   *
   * @param now monotonic milliseconds
   */
  updateMembers(now: number): void {
    const {replica, id} = this.#view;
    const {log} = replica;
    for (const member of log.members) {
      if (member.id === id || this.#progress.has(member.id)) continue;
      const progress = new FollowerProgress(log.lastIndex + 1, now);
      this.#progress.set(member.id, progress);
    }
    for (const known of [...this.#progress.keys()]) {
      if (!findMember(log.members, known)) this.#progress.delete(known);
    }
  }

  /**
   * @param now monotonic milliseconds
   * @returns false if this member must step down
   */
  tick(now: number): boolean {
    this.#rounds.recordTick(now);
    if (this.#rounds.isHeartbeatDue(now)) this.#startRound(now);
    return !this.#rounds.hasLostMajority(now);
  }

  /**
   * Sends pending entries and starts a round if a read needs one.
   *
   * @param now monotonic milliseconds
   */
  flush(now: number): void {
    if (this.#rounds.needsRound()) this.#startRound(now);
    for (const member of this.#followers()) this.#sendEntries(member, now);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while no other member can be elected; false until an entry of
   *     this term is committed
   */
  isLeaseValid(now: number): boolean {
    return this.hasCommittedInTerm && this.#rounds.isLeaseValid(now);
  }

  /** @returns the highest index that a majority of the voters has synced */
  majorityIndex(): number {
    const {replica, id} = this.#view;
    const {log} = replica;
    return majorityValue(log.members, member => {
      // The leader counts itself only up to its synced index. If unsynced
      // entries counted, a crash could lose one that was already reported as
      // committed.
      if (member === id) return this.#view.replica.syncedIndex;
      return this.#progress.get(member)?.match ?? 0;
    });
  }

  /**
   * @param id identity of a follower
   * @returns true if its synced log contains all committed entries
   */
  isCaughtUp(id: MemberId): boolean {
    const match = this.#progress.get(id)?.match ?? 0;
    return match >= this.#view.replica.commitIndex;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns true for this member, and for members that replied within an
   *     election timeout
   */
  isActive(id: MemberId, now: number): boolean {
    if (id === this.#view.id) return true;
    const lastReplyAt = this.#progress.get(id)?.lastReplyAt ?? -Infinity;
    return now - lastReplyAt < this.#view.timings.electionTimeoutMs;
  }

  /**
   * @param id identity of a member
   * @param now monotonic milliseconds
   * @returns time since its last reply in milliseconds; before the first one,
   *     since the leader began to track the member
   */
  timeSinceReplyMs(id: MemberId, now: number): number {
    const progress = this.#progress.get(id);
    if (!progress) return 0;
    return now - (progress.lastReplyAt ?? progress.trackedSince);
  }

  /** See {@link ConfirmationRounds.addRead}. */
  addRead(token: number, mayWait: boolean): void {
    this.#rounds.addRead(token, mayWait);
  }

  /** @returns tokens of the reads that may be answered now */
  takeConfirmedReads(): readonly number[] {
    // Before the first commit of this term, the commit index may be lower than
    // that of earlier leaders, and a read could miss acknowledged writes.
    return this.hasCommittedInTerm ? this.#rounds.takeConfirmedReads() : [];
  }

  /** @returns tokens of all pending reads; none of them will be confirmed */
  takeAllReads(): readonly number[] {
    return this.#rounds.takeAllReads();
  }

  /**
   * @param message a reply of a follower in this term
   * @param now monotonic milliseconds
   */
  receiveAppendReply(message: AppendReply, now: number): void {
    const progress = this.#progress.get(message.from);
    if (!progress) return;
    progress.lastReplyAt = now;
    this.#acknowledge(progress, message.round);
    if (message.success) {
      progress.accepted(message.matchIndex, now);
      return;
    }
    progress.refused(message.refusedIndex, message.hintIndex);
  }

  /**
   * @param message a reply of a follower in this term
   * @param now monotonic milliseconds
   */
  receiveSnapshotReply(message: SnapshotReply, now: number): void {
    const progress = this.#progress.get(message.from);
    if (!progress) return;
    progress.lastReplyAt = now;
    this.#acknowledge(progress, message.round);
    if (message.installed) {
      progress.accepted(message.snapshotIndex, now);
      return;
    }
    if (progress.transfer?.snapshot.index !== message.snapshotIndex) return;
    progress.receivedChunk(message.nextOffset, now);
  }

  #acknowledge(progress: FollowerProgress, round: number): void {
    const {replica, id} = this.#view;
    const {log} = replica;
    progress.ackedRound = Math.max(progress.ackedRound, round);
    const confirmed = majorityValue(log.members, member =>
      member === id
        ? this.#rounds.current
        : (this.#progress.get(member)?.ackedRound ?? 0),
    );
    this.#rounds.confirm(confirmed);
  }

  #followers(): readonly Member[] {
    const {replica, id} = this.#view;
    const {log} = replica;
    return log.members.filter(member => member.id !== id);
  }

  #startRound(now: number): void {
    this.#rounds.start(now);
    const {replica, id} = this.#view;
    const {log} = replica;
    // Confirms the round at once if this member is the only voter.
    const ownRound = majorityValue(log.members, member =>
      member === id ? this.#rounds.current : 0,
    );
    this.#rounds.confirm(ownRound);
    for (const member of this.#followers()) {
      if (this.#isHeartbeatDueTo(member)) this.#sendHeartbeat(member, now);
    }
  }

  /**
   * Most rounds leave out the observers, which count towards no quorum and only
   * need to know the leader.
   */
  #isHeartbeatDueTo({observer}: Member): boolean {
    return (
      !observer || this.#rounds.current % ROUNDS_PER_OBSERVER_HEARTBEAT === 0
    );
  }

  #sendHeartbeat(member: Member, now: number): void {
    const progress = this.#progress.get(member.id);
    if (!progress) return;
    // Heartbeats carry no entries: lost entries are sent again once a reply
    // shows the loss. An unresponsive follower may be down for long, and
    // sending all missing entries with each heartbeat would saturate the links:
    // 0.37 GB between availability zones in a minute with some thirty changes,
    // instead of the usual 0.02 GB.
    if (progress.transfer) this.#sendChunk(member, progress.transfer, 0);
    else this.#probe(member, progress, now);
  }

  #sendEntries(member: Member, now: number): void {
    const {replica, timings} = this.#view;
    const progress = this.#progress.get(member.id);
    if (!progress) return;
    while (progress.hasRoom(timings.maxInflightAppends)) {
      const isReplicating = progress.mode === PROGRESS_MODE.REPLICATE;
      if (isReplicating && progress.next > replica.log.lastIndex) return;
      if (progress.transfer) this.#sendNextChunk(member, progress, now);
      else if (isReplicating) this.#sendAppend(member, progress, now);
      else this.#sendProbe(member, progress, now);
    }
  }

  #sendProbe(member: Member, progress: FollowerProgress, now: number): void {
    progress.waiting = true;
    this.#probe(member, progress, now);
  }

  /**
   * The reply to an empty append tells how far the follower's log matches. If the
   * entry to compare is compacted, a snapshot is sent instead.
   */
  #probe(member: Member, progress: FollowerProgress, now: number): void {
    const prevIndex = progress.heartbeatIndex;
    const prevTerm = this.#view.replica.log.termAt(prevIndex);
    if (prevTerm === undefined) this.#startTransfer(member, progress, now);
    else this.#sendAppendMessage(member, prevIndex, prevTerm, []);
  }

  #sendAppend(member: Member, progress: FollowerProgress, now: number): void {
    const {log} = this.#view.replica;
    const prevIndex = progress.next - 1;
    const prevTerm = log.termAt(prevIndex);
    if (prevTerm === undefined) {
      this.#startTransfer(member, progress, now);
      return;
    }
    const {maxAppendBytes} = this.#view.timings;
    const entries = log.sliceBytes(progress.next, maxAppendBytes);
    const lastIndex = prevIndex + entries.length;
    progress.sentEntries(lastIndex, sumBytes(entries), now);
    this.#sendAppendMessage(member, prevIndex, prevTerm, entries);
  }

  #sendAppendMessage(
    member: Member,
    prevIndex: number,
    prevTerm: number,
    entries: readonly LogEntry[],
  ): void {
    this.#view.outbox.send(member.address, {
      ...this.#envelope(member),
      kind: 'append',
      prevIndex,
      prevTerm,
      entries,
      commitIndex: this.#view.replica.commitIndex,
      round: this.#rounds.current,
    });
  }

  #startTransfer(
    member: Member,
    progress: FollowerProgress,
    now: number,
  ): void {
    const {snapshot} = this.#view.replica;
    invariant(
      snapshot !== undefined,
      109,
      'log is compacted without a snapshot',
    );
    progress.startTransfer(snapshot);
    this.#sendNextChunk(member, progress, now);
  }

  #sendNextChunk(
    member: Member,
    progress: FollowerProgress,
    now: number,
  ): void {
    const {transfer} = progress;
    if (!transfer) return;
    progress.sentChunk(now);
    const {snapshotChunkBytes} = this.#view.timings;
    this.#sendChunk(member, transfer, snapshotChunkBytes);
  }

  /**
   * Sends a chunk of at most `bytes`. An empty chunk is a heartbeat, and the
   * reply to it names the next offset.
   */
  #sendChunk(member: Member, transfer: SnapshotTransfer, bytes: number): void {
    const {snapshot, offset} = transfer;
    this.#view.outbox.send(member.address, {
      ...this.#envelope(member),
      kind: 'snapshotChunk',
      snapshotIndex: snapshot.index,
      snapshotTerm: snapshot.term,
      members: snapshot.members,
      offset,
      totalBytes: snapshot.data.length,
      data: snapshot.data.subarray(offset, offset + bytes),
      round: this.#rounds.current,
    });
  }

  #envelope(
    member: Member,
  ): Pick<ConsensusMessage, 'from' | 'fromAddress' | 'to' | 'term'> {
    const {id, address, term} = this.#view;
    return {from: id, fromAddress: address, to: member.id, term};
  }
}
