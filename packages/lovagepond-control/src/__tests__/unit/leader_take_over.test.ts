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

/** A member whose barrier isn't answered: it has not taken over yet. */
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

// A new leader is known to the followers before it has taken over. A follower
// that is sent away then tries again only after a pause, and all gateways that
// subscribe to it stay without a configuration for as long.
test('a follower waits at a leader that takes over, and hears nothing yet', () => {
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

// A host that remembers nothing hears its leader at once and gets the log later.
// A gateway that waits there for the configuration is late by that time, beside
// members that have it.
test.each([
  ['knows nobody yet', {}, ['introducer:1']],
  ['hears its leader', {leader: LEADER}, ['leader:1']],
  ['has a log', {leader: LEADER, commitIndex: 7}, undefined],
])('a member that %s sends subscribers on, or serves', (_what, more, named) => {
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
  const sentOn = sent.find(update => update.kind === 'controlMembers');
  expect(sentOn?.addresses).toEqual(named);
});
