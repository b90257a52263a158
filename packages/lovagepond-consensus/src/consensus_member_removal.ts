/**
 * Decides which silent members a leader takes off the list.
 *
 * A host that is gone for good stays counted in each majority until somebody
 * takes it off. After a planned replacement, where the newcomer joins before
 * the old host ends, a group of three has four voters, one of them gone: the
 * next lost disk then leaves two of four, which can't elect a leader ever again.
 */
import {type MemberId, type MemberList} from './consensus_types.js';

/**
 * Silence after which a voter's place may be given to a host that joins, and
 * after which a learner is taken off, milliseconds: longer than a restart or a
 * short freeze, since it costs the one that returns a second change of members.
 */
export const LOST_AFTER_MS = 4_000;

/**
 * Silence after which a voter is taken off a group that has enough others,
 * milliseconds. A further loss may follow four seconds after a replaced host's
 * successor has started, and the old host ends in the second of them.
 */
const SURPLUS_LOST_AFTER_MS = 1_000;

/** Fewer voters are never left: two of them could bear no loss at all. */
const MIN_VOTERS = 3;

/** What is known of the members, and what the group must bear. */
export interface RemovalView {
  readonly members: MemberList;
  /** @returns time since a member's last answer, milliseconds */
  timeSinceReplyMs(id: MemberId): number;
  /** Undefined where voters are taken off by operators only. */
  readonly toleratedLosses: number | undefined;
}

/**
 * @param view the members as their leader sees them
 * @returns the member to take off, if any: the one that is silent longest
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

/** The voters left have a majority after the loss of any so many of them. */
function hasSurplus({members, toleratedLosses = 0}: RemovalView): boolean {
  const voters = members.filter(({voter}) => voter).length;
  return voters > Math.max(MIN_VOTERS, 2 * toleratedLosses + 1);
}
