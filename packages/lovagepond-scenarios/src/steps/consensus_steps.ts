/**
 * Steps of control hosts in a consensus group that are cut off or lost.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MEMBER_ROLE, type Proposal} from '@lovagepond/consensus';
import {CHANGE_COMMAND} from '@lovagepond/control/deciders';
import {configurationSchema} from '@lovagepond/core';
import {type ControlHost} from '../world/consensus_group.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

interface ConsensusState {
  cutOff?: ControlHost;
  crashed?: ControlHost;
  cutOffProposal?: Proposal;
  initialLeader?: string;
  initialTerm?: number;
  accepted: number;
}

const READ_TOKEN = 7;
const SETTLE_MS = 5_000;
const COMMIT_MS = 200;

const states = new WeakMap<ScenarioWorld, ConsensusState>();

function stateOf(world: ScenarioWorld): ConsensusState {
  const state = states.get(world) ?? {accepted: 0};
  states.set(world, state);
  return state;
}

function cutOffOf(world: ScenarioWorld): ControlHost {
  const {cutOff} = stateOf(world);
  assert.ok(cutOff, 'no host is cut off');
  return cutOff;
}

function addPool(world: ScenarioWorld, host: ControlHost, name: string) {
  const {revision, content} = host.machine.configuration.current.read();
  const parsed = configurationSchema.parse({pools: [{name, kind: 'engine'}]});
  const [object] = parsed.pools;
  assert.ok(object);
  assert.ok(content.pools.every(pool => pool.name !== name));
  const operationId = `add-${name}`;
  return world.consensus.propose(host, CHANGE_COMMAND, {
    operationId,
    digest: operationId,
    baseRevision: revision,
    edit: {kind: 'put', section: 'pools', object},
  });
}

function addPoolAtLeader(world: ScenarioWorld, name: string): void {
  const {leader} = world.consensus;
  const proposal = addPool(world, leader, name);
  world.timeline.advance(COMMIT_MS);
  assert.ok(world.consensus.isCommitted(leader, proposal), 'not committed');
  stateOf(world).accepted += 1;
}

function cutOff(world: ScenarioWorld, host: ControlHost, outwards: boolean) {
  const {consensus} = world;
  for (const other of consensus.hosts) {
    if (other === host) continue;
    consensus.cut(other.name, host.name);
    if (outwards) consensus.cut(host.name, other.name);
  }
  stateOf(world).cutOff = host;
}

Given<ScenarioWorld>(
  'the control hosts {string} form a consensus group',
  function (names) {
    const {timeline} = this;
    const group = this.createConsensus(names.split(', '));
    timeline.advance(SETTLE_MS);
    const state = stateOf(this);
    state.initialLeader = group.leader.name;
    state.initialTerm = group.leader.core.status(timeline.now).term;
  },
);

Given<ScenarioWorld>('the pool {string} is accepted', function (name) {
  addPoolAtLeader(this, name);
});

Given<ScenarioWorld>('{int} changes are accepted', function (count) {
  for (let number = 1; number <= count; number++) {
    addPoolAtLeader(this, `pool-${number}`);
  }
});

When<ScenarioWorld>('the leader is cut off silently', function () {
  cutOff(this, this.consensus.leader, true);
});

When<ScenarioWorld>(
  'the leader receives no messages while its own still arrive',
  function () {
    cutOff(this, this.consensus.leader, false);
  },
);

When<ScenarioWorld>('a follower is cut off silently', function () {
  const other = this.consensus.hosts.find(host => !host.leads);
  assert.ok(other);
  cutOff(this, other, true);
});

When<ScenarioWorld>(
  'the pool {string} is added at the cut-off host',
  function (name) {
    stateOf(this).cutOffProposal = addPool(this, cutOffOf(this), name);
  },
);

When<ScenarioWorld>(
  'the pool {string} is added at the leader',
  function (name) {
    assert.notEqual(this.consensus.leader, stateOf(this).cutOff);
    addPoolAtLeader(this, name);
  },
);

function requestRead(world: ScenarioWorld, host: ControlHost): void {
  host.core.read(READ_TOKEN);
  host.core.flush(world.timeline.now);
  host.perform();
}

When<ScenarioWorld>('a read arrives at the cut-off host', function () {
  requestRead(this, cutOffOf(this));
});

When<ScenarioWorld>('the partition heals', function () {
  this.consensus.heal();
});

When<ScenarioWorld>('another host crashes', function () {
  const other = this.consensus.hosts.find(host => host !== cutOffOf(this));
  assert.ok(other);
  other.crash();
  stateOf(this).crashed = other;
});

When<ScenarioWorld>('the crashed host starts again', function () {
  const {crashed} = stateOf(this);
  assert.ok(crashed);
  crashed.start();
});

When<ScenarioWorld>(
  /^(control-\d) is lost with its disk$/,
  function (name: string) {
    this.consensus.host(name).crash();
    this.timeline.advance(SETTLE_MS);
  },
);

When<ScenarioWorld>('the leader is lost with its disk', function () {
  this.consensus.leader.crash();
});

When<ScenarioWorld>(
  'a host other than {word} is lost with its disk',
  function (name) {
    const other = this.consensus.hosts.find(
      host => host.name !== name && !host.leads,
    );
    assert.ok(other);
    other.crash();
  },
);

When<ScenarioWorld>('{word} comes back with an empty disk', function (name) {
  const host = this.consensus.host(name);
  host.crash();
  host.replaceDisk();
  this.timeline.advance(SETTLE_MS);
  host.start();
});

When<ScenarioWorld>('{word} joins', function (name) {
  const {id, name: address} = this.consensus.addHost(name);
  this.consensus.changeMembers({kind: 'addLearner', id, address});
});

When<ScenarioWorld>(
  '{word} joins but receives no messages yet',
  function (name) {
    const {consensus} = this;
    for (const other of consensus.hosts) consensus.cut(other.name, name);
    const {id, name: address} = consensus.addHost(name);
    consensus.changeMembers({kind: 'addLearner', id, address});
    this.timeline.advance(SETTLE_MS);
  },
);

When<ScenarioWorld>('{word} crashes and starts again at once', function (name) {
  const host = this.consensus.host(name);
  host.crash();
  host.start();
});

function replaceVoter(
  world: ScenarioWorld,
  name: string,
  former: string,
): void {
  const {consensus, timeline} = world;
  const promote = {kind: 'promote', id: consensus.host(name).id} as const;
  assert.equal(consensus.changeMembers(promote).kind, 'added');
  timeline.advance(SETTLE_MS);
  const remove = {kind: 'remove', id: consensus.host(former).id} as const;
  assert.equal(consensus.changeMembers(remove).kind, 'added');
  timeline.advance(COMMIT_MS);
}

When<ScenarioWorld>(
  '{word} replaces {word} as a voter',
  function (name, former) {
    const {id, name: address} = this.consensus.addHost(name);
    this.consensus.changeMembers({kind: 'addLearner', id, address});
    this.timeline.advance(SETTLE_MS);
    replaceVoter(this, name, former);
  },
);

When<ScenarioWorld>(
  '{word} becomes a voter and {word} is removed',
  function (name, former) {
    replaceVoter(this, name, former);
  },
);

Then<ScenarioWorld>(
  'the promotion of {word} to voter is refused as {string}',
  function (name, reason) {
    const {id} = this.consensus.host(name);
    const proposal = this.consensus.changeMembers({kind: 'promote', id});
    assert.deepEqual(proposal, {kind: 'refused', reason});
  },
);

Then<ScenarioWorld>(
  'the change at the cut-off host was not accepted',
  function () {
    const {cutOffProposal} = stateOf(this);
    assert.ok(cutOffProposal);
    const host = cutOffOf(this);
    assert.ok(!this.consensus.isCommitted(host, cutOffProposal));
  },
);

Then<ScenarioWorld>(
  'the cut-off host answers no read and is no longer leader',
  function () {
    const host = cutOffOf(this);
    requestRead(this, host);
    this.timeline.advance(SETTLE_MS);
    assert.ok(
      !host.answeredReads.has(READ_TOKEN),
      'the cut-off host answered a read',
    );
    const {role} = host.core.status(this.timeline.now);
    assert.notEqual(role, MEMBER_ROLE.LEADER);
    assert.ok(!host.leads, 'the host still has a valid lease');
  },
);

Then<ScenarioWorld>('no control host is leader', function () {
  const {now} = this.timeline;
  const running = this.consensus.hosts.filter(host => host.isUp);
  const roles = running.map(host => host.core.status(now).role);
  assert.ok(!roles.includes(MEMBER_ROLE.LEADER), roles.join(', '));
});

Then<ScenarioWorld>('no control host was elected meanwhile', function () {
  const {now} = this.timeline;
  for (const host of this.consensus.hosts.filter(host => host.isUp)) {
    const {term} = host.core.status(now);
    assert.ok(
      term <= (stateOf(this).initialTerm ?? 0),
      `${host.name} is in term ${term}`,
    );
  }
});

Then<ScenarioWorld>(
  'every control host has the pools {string}',
  function (pools) {
    for (const host of this.consensus.hosts) {
      assert.equal(host.pools, pools, host.name);
    }
  },
);

Then<ScenarioWorld>(
  'the leader is the same as before, in the same term',
  function () {
    const {leader} = this.consensus;
    const {term} = leader.core.status(this.timeline.now);
    const {initialLeader, initialTerm} = stateOf(this);
    assert.deepEqual([leader.name, term], [initialLeader, initialTerm]);
  },
);

function countPools(host: ControlHost): number {
  return host.machine.configuration.current.read().content.pools.length;
}

Then<ScenarioWorld>('the leader has all accepted changes', function () {
  assert.equal(countPools(this.consensus.leader), stateOf(this).accepted);
});

Then<ScenarioWorld>('another change is accepted', function () {
  addPoolAtLeader(this, 'one-more');
});

Then<ScenarioWorld>(
  'no accepted change is missing on the remaining host',
  function () {
    const counts = this.consensus.hosts
      .filter(host => host.isUp)
      .map(host => countPools(host));
    assert.equal(Math.max(...counts), stateOf(this).accepted);
  },
);
