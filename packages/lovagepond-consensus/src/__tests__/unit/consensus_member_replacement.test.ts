import {expect, test} from 'vitest';
import {MemberReplacement} from '../../consensus_member_replacement.js';
import {type MemberChange} from '../../consensus_members.js';
import {type ConsensusStatus, type Member} from '../../consensus_types.js';

function makeReplacement(members: readonly Member[]): {
  readonly replacement: MemberReplacement;
  readonly changes: MemberChange[];
} {
  const changes: MemberChange[] = [];
  const replacement = new MemberReplacement({
    change: change => {
      changes.push(change);
      return Promise.resolve({kind: 'committed', index: 9});
    },
    status: () =>
      ({role: 'leader', members, commitIndex: 9}) as unknown as ConsensusStatus,
    isCaughtUp: () => true,
    isActive: () => true,
    timeSinceReplyMs: () => 0,
    toleratedLosses: undefined,
    openMembership: false,
    mayJoin: () => true,
  });
  return {replacement, changes};
}

const VOTERS: readonly Member[] = [
  {id: 'old-a', address: 'a:1', voter: true},
  {id: 'b', address: 'b:1', voter: true},
  {id: 'c', address: 'c:1', voter: true},
];

// A host lost its disk. The leader crashes right after it promoted the new
// identity, with the old identity still in the list. The old identity can't
// return: as a fourth voter it would count towards each quorum, and the next
// lost host would leave the group without a majority.
test('a leader completes the replacement that another one began', async () => {
  const successor = {id: 'new-a', address: 'a:1', voter: true};
  const {replacement, changes} = makeReplacement([...VOTERS, successor]);
  replacement.tick();
  replacement.tick();
  await new Promise(resolve => setImmediate(resolve));
  expect(changes).toEqual([{kind: 'remove', id: 'old-a'}]);
});

test('a group without unfinished replacements is not changed', () => {
  const {replacement, changes} = makeReplacement(VOTERS);
  replacement.tick();
  expect(changes).toEqual([]);
});
