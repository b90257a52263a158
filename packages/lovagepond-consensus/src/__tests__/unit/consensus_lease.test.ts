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

/** Starts three hosts whose leader has committed an entry. */
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

/** Changes the rate of the clock of a host without a jump. */
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

// In each of these tests the model checks every millisecond that at most one
// member holds a lease, and that its holder has applied all acknowledged
// entries.
describe('a leader under a lease', () => {
  // A leader with a slow clock is partitioned, and the clocks of its followers
  // are fast. They elect another leader, which acknowledges a write. The old
  // leader must no longer answer reads under its lease.
  it.each(seeds)('loses it before a successor is elected, seed %i', seed => {
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

  // One follower has lost contact with the leader and requests votes. The other
  // one has contact, but restarts. If it voted now, there would be a second
  // leader beside the first one, which is partitioned a moment later and still
  // holds its lease.
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

  // A member returns after a long partition, or receives nothing while all
  // others receive its messages. Neither may depose the leader or raise the
  // term.
  it.each(seeds)('is not deposed by a partitioned member, seed %i', seed => {
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

  // The messages of the leader arrive and the replies don't. Without replies of
  // a majority it must step down, so that the others can elect a leader.
  it.each(seeds)('steps down without replies of a majority, seed %i', seed => {
    const {model, leader, followers} = startGroup(seed);
    for (const host of followers) model.block(host, leader);
    model.advance(T + MODEL_TIMINGS.heartbeatIntervalMs);
    expect(model.status(leader).role).not.toBe('leader');
    model.heal();
    model.advance(T * 5);
    expect(model.leader()).toBeDefined();
  });
});
