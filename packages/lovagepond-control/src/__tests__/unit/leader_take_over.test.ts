import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';
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
function startMember(role: string): ControlMemberState {
  const node = {
    status: () => ({role, term: 1, leaseValid: true, members: []}),
    onLeaderChange: () => () => undefined,
    introducedBy: () => [],
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
