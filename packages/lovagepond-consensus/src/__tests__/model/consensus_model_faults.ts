/**
 * Seeded faults of the model.
 */
import {type Random} from '@lovagepond/core';
import {
  changeMembers,
  decodeMembers,
  isMajority,
  type MemberChange,
} from '../../consensus_members.js';
import {type ConsensusTimings, type MemberList} from '../../consensus_types.js';
import {type ConsensusModel} from './consensus_model.js';
import {type ModelHost} from './consensus_model_host.js';

/**
 * Small limits, so that short runs include snapshots, chunks and full append
 * windows.
 */
export const MODEL_TIMINGS: ConsensusTimings = {
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 600,
  clockDriftAllowance: 0.25,
  snapshotEveryEntries: 20,
  snapshotEveryBytes: 40,
  keptEntries: 5,
  keptBytes: 12,
  snapshotChunkBytes: 12,
  maxAppendBytes: 3,
  maxInflightAppends: 3,
};

/** Probability of each fault: per message, or per election timeout. */
export interface ModelFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly crash: number;
  readonly partition: number;
  readonly diskLoss: number;
  readonly memberChange: number;
  /** Relative error of the clock of each host, fast or slow. */
  readonly drift: number;
  /** Mean time between events; higher values mean slower networks and disks. */
  readonly stepMs: number;
  /** Share of events that sync a disk. */
  readonly storeShare: number;
}

const HEALS_PER_TIMEOUT = 0.6;
const RESTARTS_PER_TIMEOUT = 4;

/** Crashes hosts, blocks links, empties disks and changes members. */
export class FaultInjector {
  readonly #model: ConsensusModel;
  readonly #random: Random;
  readonly #faults: ModelFaults;

  constructor(model: ConsensusModel, random: Random, faults: ModelFaults) {
    this.#model = model;
    this.#random = random;
    this.#faults = faults;
  }

  /** @param stepMs time since the last call in milliseconds */
  inject(stepMs: number): void {
    const random = this.#random;
    const faults = this.#faults;
    const perStep = stepMs / MODEL_TIMINGS.electionTimeoutMs;
    const happens = (perTimeout: number): boolean =>
      random.next() < perTimeout * perStep;
    const host = this.#random.pick(this.#model.hosts);
    if (!host.core) {
      if (happens(RESTARTS_PER_TIMEOUT)) this.#model.restart(host);
    } else if (happens(faults.crash)) {
      this.#model.crash(host);
      if (random.next() < 0.5) this.#model.restart(host);
    }
    if (happens(faults.diskLoss) && this.#canLose(host)) {
      this.#model.loseDisk(host);
    }
    if (happens(faults.partition)) this.#partition();
    if (happens(HEALS_PER_TIMEOUT)) this.#model.heal();
    if (happens(faults.memberChange)) this.#changeAtRandom();
  }

  /** Partitions a host: in both directions, in one, or from one other host. */
  #partition(): void {
    const isLeader = this.#random.next() < 0.5;
    const host = isLeader
      ? this.#model.pickLeader()
      : this.#random.pick(this.#model.hosts);
    const others = this.#model.hosts.filter(other => other !== host);
    const shape = this.#random.below(4);
    for (const other of others) {
      if (shape !== 1) this.#model.block(host, other);
      if (shape !== 2) this.#model.block(other, host);
      if (shape === 3) return;
    }
  }

  #changeAtRandom(): void {
    const leader = this.#model.leader();
    if (!leader) return;
    const {members} = this.#model.status(leader);
    const host = this.#random.pick(this.#model.hosts);
    const learner = members.find(member => !member.voter);
    const lost = members.find(
      member => !this.#model.hosts.some(({disk: {id}}) => id === member.id),
    );
    const isMember = members.some(member => member.id === host.disk.id);
    let change: MemberChange = {kind: 'remove', id: (lost ?? members[0])!.id};
    if (learner && learner !== lost && this.#random.next() < 0.8) {
      change = {kind: 'promote', id: learner.id};
    } else if (!isMember && host.core) {
      change = {kind: 'addLearner', id: host.disk.id, address: host.address};
    }
    const changed = changeMembers(members, change);
    if (changed.ok && this.#hasQuorum(changed.members)) {
      this.#model.change(change);
    }
  }

  #canLose(host: ModelHost): boolean {
    if (this.#model.committedIndex === 0) return false;
    return this.#model.hosts.every(({members, disk}) => {
      const lists = [members, ...disk.memberLists(decodeMembers)];
      return lists.every(list => this.#hasQuorum(list, host));
    });
  }

  /** True if the voters that still have their disks are a majority. */
  #hasQuorum(members: MemberList, without?: ModelHost): boolean {
    if (members.length === 0) return true;
    const alive = this.#model.hosts.filter(host => host !== without);
    return isMajority(members, new Set(alive.map(host => host.disk.id)));
  }
}
