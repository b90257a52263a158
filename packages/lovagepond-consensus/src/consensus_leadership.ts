/**
 * What a member does while it leads: replication, commits, lease and reads.
 */
import {findMember, majorityValue} from './consensus_members.js';
import {
  type AppendReply,
  type ConsensusMessage,
  type SnapshotReply,
} from './consensus_messages.js';
import {type Outbox} from './consensus_outbox.js';
import {FollowerProgress, PROGRESS_MODE} from './consensus_progress.js';
import {type Replica} from './consensus_replica.js';
import {ConfirmationRounds} from './consensus_rounds.js';
import {
  type ConsensusTimings,
  type Member,
  type MemberId,
} from './consensus_types.js';

/** What a leader needs of the member that leads. */
export interface LeaderView {
  readonly id: MemberId;
  readonly address: string;
  readonly term: number;
  readonly timings: ConsensusTimings;
  readonly outbox: Outbox;
  readonly replica: Replica;
}

/**
 * Silence after which a voter's place may be given away, milliseconds: longer
 * than a restart or a short freeze, since a voter whose place was given away
 * must begin anew with an empty data folder.
 */
const LOST_AFTER_MS = 4_000;

/** Heartbeats between two parts of a snapshot to a silent follower. */
const SILENT_RESEND_ROUNDS = 8;

/** One leader in one term. */
export class Leadership {
  readonly #view: LeaderView;
  readonly #rounds: ConfirmationRounds;
  readonly #progress = new Map<MemberId, FollowerProgress>();
  /** Index of the first entry of the own term. */
  readonly #termStart: number;

  /**
   * @param view the member that leads
   * @param now monotonic milliseconds
   */
  constructor(view: LeaderView, now: number) {
    this.#view = view;
    this.#rounds = new ConfirmationRounds(view.timings, now);
    this.#termStart = view.replica.log.lastIndex + 1;
    this.membersChanged();
  }

  /** True once an entry of the own term is committed. */
  get hasCommittedInTerm(): boolean {
    return this.#view.replica.commitIndex >= this.#termStart;
  }

  /** Takes the log's member list in force over. */
  membersChanged(): void {
    const {replica, id} = this.#view;
    const {log} = replica;
    for (const member of log.members) {
      if (member.id === id || this.#progress.has(member.id)) continue;
      const progress = new FollowerProgress(log.lastIndex + 1);
      this.#progress.set(member.id, progress);
    }
    for (const known of [...this.#progress.keys()]) {
      if (!findMember(log.members, known)) this.#progress.delete(known);
    }
  }

  /**
   * @param now monotonic milliseconds
   * @returns false when this member must stop leading
   */
  tick(now: number): boolean {
    if (this.#rounds.isHeartbeatDue(now)) this.#startRound(now);
    return !this.#rounds.hasLostMajority(now);
  }

  /** @param now monotonic milliseconds; sends what waits to be sent */
  flush(now: number): void {
    if (this.#rounds.needsRound()) this.#startRound(now);
    for (const member of this.#followers()) this.#sendEntries(member);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while no other member can be elected
   */
  isLeaseValid(now: number): boolean {
    return this.hasCommittedInTerm && this.#rounds.isLeaseValid(now);
  }

  /** @returns the highest index that a majority has synced */
  majorityIndex(): number {
    const {replica, id} = this.#view;
    const {log} = replica;
    return majorityValue(log.members, member => {
      // The leader counts itself only up to its own sync: an entry counted
      // earlier could be lost by a crash although it was called committed.
      if (member === id) return this.#view.replica.syncedIndex;
      return this.#progress.get(member)?.match ?? 0;
    });
  }

  /**
   * @param id identity of a follower
   * @returns true when its synced log holds all that is committed
   */
  isCaughtUp(id: MemberId): boolean {
    const match = this.#progress.get(id)?.match ?? 0;
    return match >= this.#view.replica.commitIndex;
  }

  /**
   * @param id identity of a member
   * @returns true for this one, and for one that answered a recent round
   */
  isActive(id: MemberId): boolean {
    if (id === this.#view.id) return true;
    const acked = this.#progress.get(id)?.ackedRound ?? 0;
    return acked > 0 && acked + this.#recentRounds() >= this.#rounds.current;
  }

  /**
   * @param id identity of a member
   * @returns true when it hasn't answered for so long that a host which asks
   *     to join may take its place
   */
  isLost(id: MemberId): boolean {
    if (id === this.#view.id) return false;
    const {heartbeatIntervalMs} = this.#view.timings;
    const acked = this.#progress.get(id)?.ackedRound ?? 0;
    return this.#rounds.current - acked >= LOST_AFTER_MS / heartbeatIntervalMs;
  }

  /** @param token the caller's number for a read that arrives now */
  addRead(token: number): void {
    this.#rounds.addRead(token);
  }

  /** @returns tokens of the reads that may be answered now */
  takeConfirmedReads(): readonly number[] {
    // Before a commit in the own term the commit index may lag behind what
    // earlier leaders committed, and a read would miss acknowledged writes.
    return this.hasCommittedInTerm ? this.#rounds.takeConfirmedReads() : [];
  }

  /** @returns tokens of all waiting reads; they will not be answered */
  takeAllReads(): readonly number[] {
    return this.#rounds.takeAllReads();
  }

  /** @param message a follower's answer in the own term */
  receiveAppendReply(message: AppendReply): void {
    const progress = this.#progress.get(message.from);
    if (!progress) return;
    this.#acknowledge(progress, message.round);
    if (message.success) {
      progress.accepted(message.matchIndex);
      return;
    }
    progress.refused(message.refusedIndex, message.hintIndex);
  }

  /** @param message a follower's answer in the own term */
  receiveSnapshotReply(message: SnapshotReply): void {
    const progress = this.#progress.get(message.from);
    if (!progress) return;
    this.#acknowledge(progress, message.round);
    if (message.installed) {
      progress.accepted(message.snapshotIndex);
      return;
    }
    const {transfer} = progress;
    if (transfer?.snapshot.index !== message.snapshotIndex) return;
    const wasSent = message.nextOffset === transfer.offset;
    transfer.offset = message.nextOffset;
    // With all bytes received, only the heartbeat asks again, while the
    // follower syncs.
    const complete = message.nextOffset >= transfer.snapshot.data.length;
    progress.waiting = complete || wasSent;
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
    const alone = majorityValue(log.members, member =>
      member === id ? this.#rounds.current : 0,
    );
    this.#rounds.confirm(alone);
    for (const member of this.#followers()) this.#sendHeartbeat(member);
  }

  #sendHeartbeat(member: Member): void {
    const progress = this.#progress.get(member.id);
    if (!progress) return;
    if (progress.mode === PROGRESS_MODE.REPLICATE) {
      const hasRoom = progress.hasRoom(this.#view.timings.maxInflightAppends);
      if (!hasRoom || progress.next > this.#view.replica.log.lastIndex) {
        this.#sendAppend(member, progress, 0);
        return;
      }
    }
    if (progress.transfer && !this.#isResendDue(member.id)) return;
    progress.waiting = false;
    this.#sendEntries(member);
  }

  /**
   * A silent follower may be down for long. Sent with each heartbeat, what it
   * lacks would fill the links: 0.37 GB between availability zones in a minute
   * of some thirty changes, where 0.02 are usual.
   */
  #isResendDue(id: MemberId): boolean {
    if (this.#hears(id)) return true;
    return this.#rounds.current % SILENT_RESEND_ROUNDS === 0;
  }

  /** A new leader hears nobody yet, and its first message may be large. */
  #hears(id: MemberId): boolean {
    return this.isActive(id) || this.#rounds.current <= this.#recentRounds();
  }

  #recentRounds(): number {
    const {heartbeatIntervalMs, electionTimeoutMs} = this.#view.timings;
    return Math.ceil(electionTimeoutMs / heartbeatIntervalMs);
  }

  #sendEntries(member: Member): void {
    const {replica, timings} = this.#view;
    const {log} = replica;
    const progress = this.#progress.get(member.id);
    if (!progress?.hasRoom(timings.maxInflightAppends)) return;
    if (progress.mode === PROGRESS_MODE.SNAPSHOT) {
      this.#sendChunk(member, progress);
      return;
    }
    if (progress.mode === PROGRESS_MODE.PROBE) {
      // Silent, it is only asked how far its log matches.
      const maxBytes = this.#hears(member.id) ? timings.maxAppendBytes : 0;
      this.#sendAppend(member, progress, maxBytes);
      return;
    }
    while (
      progress.next <= log.lastIndex &&
      progress.hasRoom(timings.maxInflightAppends)
    ) {
      if (!this.#sendAppend(member, progress, timings.maxAppendBytes)) return;
    }
  }

  /** @returns false when a snapshot was sent instead */
  #sendAppend(
    member: Member,
    progress: FollowerProgress,
    maxBytes: number,
  ): boolean {
    const {replica, outbox} = this.#view;
    const {log} = replica;
    const prevIndex = progress.next - 1;
    const prevTerm = log.termAt(prevIndex);
    if (prevTerm === undefined) {
      this.#startTransfer(member, progress);
      return false;
    }
    const entries = maxBytes > 0 ? log.sliceBytes(progress.next, maxBytes) : [];
    if (entries.length > 0 || progress.mode === PROGRESS_MODE.PROBE) {
      progress.sent(prevIndex + entries.length);
    }
    outbox.send(member.address, {
      ...this.#envelope(member),
      kind: 'append',
      prevIndex,
      prevTerm,
      entries,
      commitIndex: this.#view.replica.commitIndex,
      round: this.#rounds.current,
    });
    return true;
  }

  #startTransfer(member: Member, progress: FollowerProgress): void {
    const snapshot = this.#view.replica.snapshot;
    if (!snapshot) return;
    progress.startTransfer(snapshot);
    this.#sendChunk(member, progress);
  }

  #sendChunk(member: Member, progress: FollowerProgress): void {
    const {transfer} = progress;
    if (!transfer) return;
    const {snapshot, offset} = transfer;
    const end = offset + this.#view.timings.snapshotChunkBytes;
    progress.waiting = true;
    this.#view.outbox.send(member.address, {
      ...this.#envelope(member),
      kind: 'snapshotChunk',
      snapshotIndex: snapshot.index,
      snapshotTerm: snapshot.term,
      members: snapshot.members,
      offset,
      totalBytes: snapshot.data.length,
      data: snapshot.data.subarray(offset, end),
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
