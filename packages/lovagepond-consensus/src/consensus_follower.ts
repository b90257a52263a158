/**
 * Handling of log entries and snapshots from the leader.
 */
import {type MemberState} from './consensus_member_state.js';
import {type AppendRequest, type SnapshotChunk} from './consensus_messages.js';
import {SnapshotReceiver} from './consensus_snapshot_receiver.js';

export class Follower {
  readonly #state: MemberState;
  readonly #receiver = new SnapshotReceiver();
  #term = 0;
  /** Latest confirmation round of the leader in this term. */
  #round = 0;
  #ackedIndex = 0;

  /** @param state state of the member, shared with its other components */
  constructor(state: MemberState) {
    this.#state = state;
  }

  /**
   * @param message entries, or a heartbeat without entries
   * @param now monotonic milliseconds
   */
  onAppend(message: AppendRequest, now: number): void {
    if (!this.#follow(message, now)) {
      this.#refuse(message, message.prevIndex, 0);
      return;
    }
    const result = this.#state.replica.receive(message);
    if (!result.accepted) {
      this.#refuse(message, message.prevIndex, result.hintIndex);
      return;
    }
    // Written entries are acknowledged in onStored, once they are synced.
    if (!result.wrote) this.#acknowledge();
  }

  /**
   * @param message a snapshot chunk
   * @param now monotonic milliseconds
   */
  onSnapshotChunk(message: SnapshotChunk, now: number): void {
    if (!this.#follow(message, now)) {
      this.#refuse(message, 0, 0);
      return;
    }
    const {replica} = this.#state;
    const {snapshotIndex, round} = message;
    let nextOffset = message.totalBytes;
    if (snapshotIndex > replica.commitIndex) {
      nextOffset = this.#receiver.add(message);
      const snapshot = this.#receiver.take(message);
      if (snapshot) replica.install(snapshot);
    }
    const installed = snapshotIndex <= replica.ackIndex;
    const progress = {snapshotIndex, nextOffset, installed, round};
    this.#state.reply(message, {kind: 'snapshotReply', ...progress});
  }

  /** Acknowledges entries that were synced since the last call. */
  onStored(): void {
    const {replica, leader, leadership} = this.#state;
    if (!leader || leadership) return;
    if (replica.ackIndex > this.#ackedIndex) this.#acknowledge();
  }

  #follow(message: AppendRequest | SnapshotChunk, now: number): boolean {
    if (!this.#state.follow(message, now)) return false;
    if (message.term !== this.#term) {
      this.#term = message.term;
      this.#round = 0;
      this.#ackedIndex = 0;
    }
    this.#round = Math.max(this.#round, message.round);
    return true;
  }

  #acknowledge(): void {
    const {leader, replica} = this.#state;
    if (!leader) return;
    this.#ackedIndex = replica.ackIndex;
    const receiver = {from: leader.id, fromAddress: leader.address};
    this.#state.reply(receiver, {
      kind: 'appendReply',
      success: true,
      matchIndex: replica.ackIndex,
      refusedIndex: 0,
      hintIndex: 0,
      round: this.#round,
    });
  }

  #refuse(
    message: AppendRequest | SnapshotChunk,
    refusedIndex: number,
    hintIndex: number,
  ): void {
    this.#state.reply(message, {
      kind: 'appendReply',
      success: false,
      matchIndex: 0,
      refusedIndex,
      hintIndex,
      round: message.round,
    });
  }
}
