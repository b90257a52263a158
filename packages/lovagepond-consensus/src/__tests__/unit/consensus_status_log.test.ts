import {expect, test} from 'vitest';
import {StatusLog} from '../../consensus_status_log.js';
import {type ConsensusStatus, type MemberList} from '../../index.js';

// A group can't elect a leader after two of its four disks were lost at once.
// The logs must show which members are voters and how far each log reaches. A
// line for each heartbeat would hide these lines.
test('logs role, term and members when one of them changes', () => {
  const lines: unknown[] = [];
  const log = {
    debug: () => undefined,
    info: (_message: string, fields?: object) => lines.push(fields),
    warn: () => undefined,
    error: () => undefined,
  };
  const statusLog = new StatusLog(log);
  const members: MemberList = [
    {id: 'a785094c-1', address: 'a:1', voter: true},
    {id: 'd9def891-2', address: 'b:1', voter: false},
  ];
  const status: ConsensusStatus = {
    id: 'a785094c-1',
    role: 'follower',
    term: 3,
    commitIndex: 54,
    appliedIndex: 54,
    lastIndex: 58,
    snapshotIndex: 54,
    members,
    leaseValid: false,
  };
  statusLog.update(status);
  statusLog.update({...status, commitIndex: 58});
  expect(lines).toMatchObject([
    {state: 'follower', members: 'a785094c@a:1 d9def891@b:1 (learner)'},
  ]);
  statusLog.update({...status, members: members.slice(0, 1)});
  statusLog.update({...status, members, term: 4});
  expect(lines).toMatchObject([{}, {members: 'a785094c@a:1'}, {term: 4}]);
});
