/**
 * Choice of unresponsive members for removal by the leader.
 *
 * A host that never returns counts towards the quorum until it is removed.
 * After a planned replacement, where the new host joins before the old one
 * stops, a group of three has four voters, one of them gone. Losing one more
 * disk leaves two of four voters, which can never elect a leader again.
 */
import {type MemberId, type MemberList} from './consensus_types.js';

/**
 * Silence, in milliseconds, after which a joining host may replace a voter and
 * after which a learner is removed. It exceeds a restart or a short freeze, as
 * a member that returns later needs another membership change.
 */
export const LOST_AFTER_MS = 4_000;

/**
 * Time without a reply, in milliseconds, after which a voter is removed from a
 * group that has enough others. The old host of a planned replacement stops
 * between one and two seconds after its successor has started, and the next
 * loss may follow four seconds after that start.
 */
const SURPLUS_LOST_AFTER_MS = 1_000;

/** Minimum of voters after a removal: two voters tolerate no failure. */
const MIN_VOTERS = 3;

/** Input for choosing a member to remove. */
export interface RemovalView {
  readonly members: MemberList;
  /** @returns time since the last reply of a member, milliseconds */
  timeSinceReplyMs(id: MemberId): number;
  /** Undefined if only operators remove voters. */
  readonly toleratedLosses: number | undefined;
}

/**
 * @param view the members as seen by the leader
 * @returns the member to remove, if any: the one that has not replied for the
 *     longest time
 */
export function chooseRemoval(view: RemovalView): MemberId | undefined {
  if (view.toleratedLosses === undefined) return undefined;
  const voterLimitMs = hasSurplus(view) ? SURPLUS_LOST_AFTER_MS : Infinity;
  let longest: MemberId | undefined;
  let longestMs = 0;
  for (const {id, voter} of view.members) {
    const timeSinceReplyMs = view.timeSinceReplyMs(id);
    const limitMs = voter ? voterLimitMs : LOST_AFTER_MS;
    if (timeSinceReplyMs < limitMs || timeSinceReplyMs <= longestMs) continue;
    longest = id;
    longestMs = timeSinceReplyMs;
  }
  return longest;
}

/**
 * True if the voters that remain after a removal keep a majority when
 * `toleratedLosses` of them fail.
 */
function hasSurplus({members, toleratedLosses = 0}: RemovalView): boolean {
  const voters = members.filter(({voter}) => voter).length;
  return voters > Math.max(MIN_VOTERS, 2 * toleratedLosses + 1);
}
