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

// A host lost its disk. Its new identity votes, and at that moment the leader crashes,
// with the old identity still on the list. That one can't come back: as a fourth voter
// it counts against each majority, and the next lost host would end the group.
test('a leader takes off what the one before it left of a replacement', async () => {
  const successor = {id: 'new-a', address: 'a:1', voter: true};
  const {replacement, changes} = makeReplacement([...VOTERS, successor]);
  replacement.tick();
  replacement.tick();
  await new Promise(resolve => setImmediate(resolve));
  expect(changes).toEqual([{kind: 'remove', id: 'old-a'}]);
});

test('a group at rest is left as it is', () => {
  const {replacement, changes} = makeReplacement(VOTERS);
  replacement.tick();
  expect(changes).toEqual([]);
});
