import {
  type ConsensusNode,
  type ConsensusStatus,
  MEMBER_ROLE,
} from '@lovagepond/consensus';
import {expect, test} from 'vitest';
import {ControlMemberState} from '../../control_member_state.js';
import {
  CONTROL_DEFAULTS,
  type ControlSettings,
} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';
import {CONTROL_ROLE, type FeedUpdate} from '../../subscription_feed.js';
import {SILENT_LOG} from '../model/control_cluster.js';

const SETTINGS = {
  ...CONTROL_DEFAULTS,
  nodeName: 'a',
  region: 'r',
  leaderContactLimitMs: 2_500,
} as unknown as ControlSettings;
const FOLLOWER = {
  node: 'b',
  role: CONTROL_ROLE,
  pool: '',
  revision: 0,
  takesDeltas: false,
};
const CLOCK = {now: () => 0, wallTime: () => 0};

/** A member whose read barrier never completes, so that it can't take over. */
function startMember(
  role: string,
  more: Partial<ConsensusStatus> = {},
): ControlMemberState {
  const status = {role, term: 1, leaseValid: true, members: [], commitIndex: 0};
  const node = {
    status: () => ({...status, ...more}),
    onLeaderChange: () => () => undefined,
    announcedMembers: () => ['introducer:1'],
    readBarrier: () => new Promise(() => undefined),
  } as unknown as ConsensusNode;
  const machine = new ControlStateMachine(CONTROL_DEFAULTS, CLOCK.now);
  const parts = {clock: CLOCK, log: SILENT_LOG, machine, node};
  const state = new ControlMemberState(SETTINGS, parts);
  state.tick(0);
  return state;
}

// Followers subscribe to a new leader before it has taken over. If the leader
// refused them, they would retry only after a delay, and their subscribed
// gateways would stay without a configuration for as long.
test('a follower subscribes during a takeover and gets no updates', () => {
  const sent: FeedUpdate[] = [];
  const sink = {
    isWritable: () => true,
    send: (update: FeedUpdate) => sent.push(update),
    end: () => undefined,
  };
  const leader = startMember(MEMBER_ROLE.LEADER);
  expect(leader.subscribe(FOLLOWER, sink)).toBeDefined();
  leader.tick(0);
  expect(sent).toEqual([]);
  const follower = startMember(MEMBER_ROLE.FOLLOWER);
  expect(follower.subscribe(FOLLOWER, sink)).toBeUndefined();
});

const ROUTER = {...FOLLOWER, node: 'r', role: 'router'};
const LEADER = {id: 'l', address: 'leader:1', voter: true};

// A host without stored state has contact with the leader before it has the
// log. A gateway that waits there gets the configuration later than elsewhere.
test.each([
  ['has no leader', {}, ['introducer:1']],
  ['has no log', {leader: LEADER}, ['leader:1']],
  ['has a log', {leader: LEADER, commitIndex: 7}, undefined],
])('a member that %s redirects or serves', (_what, more, targets) => {
  const sent: FeedUpdate[] = [];
  const sink = {
    isWritable: () => true,
    send: (update: FeedUpdate) => sent.push(update),
    end: () => undefined,
  };
  const member = startMember(MEMBER_ROLE.FOLLOWER, more);
  member.subscribe(ROUTER, sink);
  member.tick(0);
  member.stop();
  const redirect = sent.find(update => update.kind === 'controlMembers');
  expect(redirect?.addresses).toEqual(targets);
});
