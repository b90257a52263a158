/**
 * Member lists: majorities, single-server changes and their encoding.
 */
import {z} from '@lovagepond/core';
import {
  CHANGE_REFUSAL,
  type ChangeRefusal,
  type Member,
  type MemberId,
  type MemberList,
} from './consensus_types.js';

export type MemberChange =
  | {
      readonly kind: 'addLearner';
      readonly id: MemberId;
      readonly address: string;
      /** The learner never becomes a voter. */
      readonly observer?: boolean;
    }
  | {readonly kind: 'promote'; readonly id: MemberId}
  | {readonly kind: 'remove'; readonly id: MemberId};

/** The changed list, or the reason for refusing the change. */
export type ChangedMembers =
  | {readonly ok: true; readonly members: MemberList}
  | {readonly ok: false; readonly reason: ChangeRefusal};

/** Schema of a member list in entries, snapshots and messages. */
export const memberListSchema = z.array(
  z.object({
    id: z.string(),
    address: z.string(),
    voter: z.boolean(),
    observer: z.literal(true).optional(),
  }),
);

/**
 * @param members a member list
 * @returns the data of a log entry
 */
export function encodeMembers(members: MemberList): Uint8Array {
  return Buffer.from(JSON.stringify(members));
}

/**
 * @param data the data of a log entry
 * @returns the member list in it
 */
export function decodeMembers(data: Uint8Array): MemberList {
  const parsed: unknown = JSON.parse(Buffer.from(data).toString());
  return memberListSchema.parse(parsed);
}

/**
 * @param members a member list
 * @param id an identity
 * @returns the member of that identity
 */
export function findMember(
  members: MemberList,
  id: MemberId,
): Member | undefined {
  return members.find(member => member.id === id);
}

/**
 * @param members a member list
 * @param id an identity
 * @returns true if the identity is that of a voter
 */
export function isVoter(members: MemberList, id: MemberId): boolean {
  return findMember(members, id)?.voter ?? false;
}

/**
 * @param members a member list
 * @param valueOf returns a number for a voter, such as its synced index
 * @returns the largest number that a majority of the voters has reached; 0 if
 *     there are no voters
 */
export function majorityValue(
  members: MemberList,
  valueOf: (id: MemberId) => number,
): number {
  const voters = members.filter(member => member.voter);
  const values = voters.map(member => valueOf(member.id));
  values.sort((left, right) => right - left);
  return values[Math.floor(values.length / 2)] ?? 0;
}

/**
 * @param members a member list
 * @param ids identities of members
 * @returns true if they include a majority of the voters
 */
export function isMajority(
  members: MemberList,
  ids: ReadonlySet<MemberId>,
): boolean {
  return majorityValue(members, id => (ids.has(id) ? 1 : 0)) === 1;
}

function refuse(reason: ChangeRefusal): ChangedMembers {
  return {ok: false, reason};
}

function addLearner(
  members: MemberList,
  change: Extract<MemberChange, {kind: 'addLearner'}>,
): ChangedMembers {
  const {id, address, observer} = change;
  if (findMember(members, id)) return refuse(CHANGE_REFUSAL.ALREADY_MEMBER);
  const learner = {id, address, voter: false};
  const added = observer ? {...learner, observer} : learner;
  return {ok: true, members: [...members, added]};
}

function promote(
  members: MemberList,
  change: Extract<MemberChange, {kind: 'promote'}>,
): ChangedMembers {
  const found = findMember(members, change.id);
  if (!found) return refuse(CHANGE_REFUSAL.UNKNOWN_MEMBER);
  if (found.voter) return refuse(CHANGE_REFUSAL.ALREADY_MEMBER);
  // An observer has no disk: a restart would lose entries it acknowledged.
  if (found.observer) return refuse(CHANGE_REFUSAL.OBSERVER);
  const changed = members.map(member =>
    member === found ? {...member, voter: true} : member,
  );
  return {ok: true, members: changed};
}

function remove(
  members: MemberList,
  change: Extract<MemberChange, {kind: 'remove'}>,
): ChangedMembers {
  if (!findMember(members, change.id)) {
    return refuse(CHANGE_REFUSAL.UNKNOWN_MEMBER);
  }
  const rest = members.filter(member => member.id !== change.id);
  if (!rest.some(member => member.voter)) {
    return refuse(CHANGE_REFUSAL.LAST_VOTER);
  }
  return {ok: true, members: rest};
}

type ChangeHandler<Kind extends MemberChange['kind']> = (
  members: MemberList,
  change: Extract<MemberChange, {kind: Kind}>,
) => ChangedMembers;

const CHANGE_HANDLERS: {
  readonly [Kind in MemberChange['kind']]: ChangeHandler<Kind>;
} = {addLearner, promote, remove};

/**
 * @param members the current list
 * @param change a single change, so that any majority of the old list and any
 *     majority of the new one share a voter
 * @returns the changed list, or the reason for refusing the change
 */
export function changeMembers(
  members: MemberList,
  change: MemberChange,
): ChangedMembers {
  const handler = CHANGE_HANDLERS[change.kind] as ChangeHandler<
    MemberChange['kind']
  >;
  return handler(members, change);
}
