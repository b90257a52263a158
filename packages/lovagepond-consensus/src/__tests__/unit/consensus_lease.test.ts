import {describe, expect, it} from 'vitest';
import {ConsensusModel} from '../model/consensus_model.js';
import {
  MODEL_TIMINGS,
  type ModelFaults,
} from '../model/consensus_model_faults.js';
import {type ModelHost} from '../model/consensus_model_host.js';

const T = MODEL_TIMINGS.electionTimeoutMs;
const DRIFT = MODEL_TIMINGS.clockDriftAllowance;
const SEEDS = 5;

const NO_FAULTS: ModelFaults = {
  loss: 0,
  duplication: 0,
  crash: 0,
  partition: 0,
  diskLoss: 0,
  memberChange: 0,
  drift: 0,
  stepMs: 1,
  storeShare: 0.1,
};

interface Group {
  readonly model: ConsensusModel;
  readonly leader: ModelHost;
  readonly followers: readonly ModelHost[];
}

/** Three hosts with a leader that has committed something. */
function startGroup(seed: number): Group {
  const model = new ConsensusModel(seed, 3, 0, NO_FAULTS);
  model.advance(T * 5);
  const leader = model.leader()!;
  model.propose(leader);
  model.advance(T);
  expect(model.status(leader).leaseValid).toBe(true);
  const followers = model.hosts.filter(host => host !== leader);
  return {model, leader, followers};
}

/** Changes the rate of a host's clock without a jump. */
function drift(model: ConsensusModel, host: ModelHost, rate: number): void {
  host.offset = model.nowAt(host) - model.time * rate;
  host.rate = rate;
}

function isolate({model}: Group, host: ModelHost): void {
  for (const other of model.hosts) {
    model.block(host, other);
    model.block(other, host);
  }
}

const seeds = Array.from({length: SEEDS}, (_, seed) => [seed]);

// In all of these the model checks, each millisecond, that at most one member
// holds a lease, and that its holder has applied all that clients were told.
describe('a leader under a lease', () => {
  // A leader on a slow clock is cut off silently; its followers' clocks are
  // fast. They elect another, which acknowledges a write. A read under the old
  // lease must not be answered any more.
  it.each(seeds)('loses it before a successor, seed %i', seed => {
    const group = startGroup(seed);
    const {model, leader, followers} = group;
    drift(model, leader, 1 - DRIFT);
    for (const host of followers) drift(model, host, 1 + DRIFT);
    model.advance(T);
    isolate(group, leader);
    model.advance(T * 2);
    expect(model.status(leader).role).toBe('follower');
    const successor = model.leader()!;
    expect(successor).not.toBe(leader);
    const {ackedCount} = model;
    model.propose(successor);
    model.advance(T);
    expect(model.ackedCount).toBe(ackedCount + 1);
  });

  // One follower no longer hears the leader and asks for votes; the other one
  // does, and forgets so by a restart. Its vote now would make a second leader
  // beside one that is cut off a moment later and still trusts its lease.
  it.each(seeds)('keeps it when a follower restarts, seed %i', seed => {
    const group = startGroup(seed);
    const {model, leader, followers} = group;
    const [disconnected, restarted] = followers as [ModelHost, ModelHost];
    model.block(leader, disconnected);
    model.advance(T * 3);
    model.crash(restarted);
    model.restart(restarted);
    isolate(group, leader);
    model.advance(T * 3);
    expect(model.leader()).not.toBe(leader);
  });

  // A member that was cut off for long comes back, or hears nobody while all
  // hear it. Neither may cost the others their leader or its term.
  it.each(seeds)('is not disturbed by a cut off member, seed %i', seed => {
    const group = startGroup(seed);
    const {model, leader, followers} = group;
    const {term} = model.status(leader);
    const [cutOff] = followers as [ModelHost, ModelHost];
    isolate(group, cutOff);
    model.advance(T * 10);
    model.heal();
    model.advance(T);
    model.block(leader, cutOff);
    model.advance(T * 10);
    model.heal();
    model.advance(T);
    expect(model.status(leader)).toMatchObject({role: 'leader', term});
  });

  // The leader's messages arrive and the answers don't: without a majority's
  // answers it must stop by itself, so that the others can elect.
  it.each(seeds)('steps down when it hears no majority, seed %i', seed => {
    const {model, leader, followers} = startGroup(seed);
    for (const host of followers) model.block(host, leader);
    model.advance(T + MODEL_TIMINGS.heartbeatIntervalMs);
    expect(model.status(leader).role).not.toBe('leader');
    model.heal();
    model.advance(T * 5);
    expect(model.leader()).toBeDefined();
  });
});
