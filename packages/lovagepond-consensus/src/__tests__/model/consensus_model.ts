/**
 * Drives several cores through faults from a seed, and checks after each step
 * what must always hold.
 */
import {Random} from '@lovagepond/core';
import {expect} from 'vitest';
import {ConsensusCore} from '../../consensus_core.js';
import {
  changeMembers,
  decodeMembers,
  isMajority,
  type MemberChange,
} from '../../consensus_members.js';
import {type ConsensusMessage} from '../../consensus_messages.js';
import {type ConsensusAction} from '../../consensus_outbox.js';
import {
  type ConsensusStatus,
  type ConsensusTimings,
  ENTRY_KIND,
  type LogEntry,
  type MemberId,
  type MemberList,
} from '../../consensus_types.js';
import {ModelDisk} from './consensus_model_disk.js';
import {encodeState, ModelHost, ModelOracle} from './consensus_model_host.js';

/** Small limits, so that short runs meet snapshots, chunks and full windows. */
export const MODEL_TIMINGS: ConsensusTimings = {
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 600,
  clockDriftAllowance: 0.1,
  snapshotEveryEntries: 20,
  keptEntries: 5,
  snapshotChunkBytes: 12,
  maxAppendBytes: 24,
  maxInflightAppends: 3,
};

/** How often each fault happens, per step or per message. */
export interface ModelFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly crash: number;
  readonly partition: number;
  readonly diskLoss: number;
  readonly memberChange: number;
  /** Largest relative error of the hosts' clocks. */
  readonly drift: number;
}

const MEAN_STEP_MS = 4;
const DELIVER_SHARE = 0.55;
const STORE_SHARE = 0.15;
const PROPOSE_SHARE = 0.08;
const READ_SHARE = 0.04;
const HEAL_FACTOR = 4;
const MAX_LATE = 200;
const LOG_CHECK_INTERVAL = 500;

interface InFlight {
  readonly fromHost: ModelHost;
  readonly address: string;
  readonly message: ConsensusMessage;
}

/** The group, its network and the checks. */
export class ConsensusModel {
  readonly hosts: ModelHost[] = [];
  time = 0;
  /** Highest index that was acknowledged to a client. */
  ackedIndex = 0;
  acked = 0;
  readsAnswered = 0;
  readonly #oracle = new ModelOracle();
  readonly #random: Random;
  readonly #faults: ModelFaults;
  #network: InFlight[] = [];
  #late: InFlight[] = [];
  readonly #blocked = new Set<string>();
  #nextId = 0;
  #nextToken = 0;
  #nextCommand = 0;

  constructor(
    seed: number,
    hosts: number,
    spares: number,
    faults: ModelFaults,
  ) {
    this.#random = new Random(seed);
    this.#faults = faults;
    for (let at = 0; at < hosts + spares; at += 1) {
      this.hosts.push(new ModelHost(`host${at}:1`, this.#makeId()));
    }
    for (const host of this.hosts) this.restart(host);
    const first = this.hosts.slice(0, hosts);
    const members = first.map(({address, disk: {id}}) => {
      return {id, address, voter: true};
    });
    this.hosts[0]!.core!.bootstrap(members);
    this.#perform(this.hosts[0]!);
    this.hosts[0]!.disk.syncAll();
  }

  get terms(): number {
    return this.#oracle.terms;
  }

  get committedIndex(): number {
    return this.#oracle.committedIndex;
  }

  status(host: ModelHost): ConsensusStatus {
    return host.core!.status(this.nowAt(host));
  }

  nowAt(host: ModelHost): number {
    return host.offset + this.time * host.rate;
  }

  leader(): ModelHost | undefined {
    const leaders = this.hosts.filter(
      host => host.core && this.status(host).role === 'leader',
    );
    return leaders.sort((a, b) => this.status(b).term - this.status(a).term)[0];
  }

  step(): void {
    const random = this.#random;
    this.time += random.exponential(MEAN_STEP_MS);
    let share = random.next();
    const isNext = (part: number): boolean => (share -= part) < 0;
    if (isNext(DELIVER_SHARE)) this.deliver();
    else if (isNext(STORE_SHARE)) this.sync(this.#pickHost());
    else if (isNext(PROPOSE_SHARE)) this.propose(this.#pickLeader());
    else if (isNext(READ_SHARE)) this.read(this.#pickLeader());
    else this.tick(this.#pickHost());
    this.#injectFaults();
    this.check();
  }

  run(steps: number): void {
    for (let step = 1; step <= steps; step += 1) {
      this.step();
      if (step % LOG_CHECK_INTERVAL === 0) {
        this.#oracle.checkLogMatching(this.hosts);
      }
    }
  }

  tick(host: ModelHost): void {
    host.core?.tick(this.nowAt(host));
    this.#perform(host);
  }

  propose(host: ModelHost): void {
    this.#nextCommand += 1;
    const command = Buffer.from(String(this.#nextCommand));
    const proposal = host.core?.propose(command);
    if (proposal?.kind !== 'added') return;
    host.proposals.set(proposal.index, proposal.term);
    if (this.#random.next() < 0.5) return;
    host.core?.flush(this.nowAt(host));
    this.#perform(host);
  }

  read(host: ModelHost): void {
    if (!host.core) return;
    this.#nextToken += 1;
    host.reads.set(this.#nextToken, this.committedIndex);
    host.core.read(this.#nextToken);
    host.core.flush(this.nowAt(host));
    this.#perform(host);
  }

  /** Delivers any message under way: order is not kept. */
  deliver(): void {
    if (this.#network.length === 0) return;
    const at = this.#random.below(this.#network.length);
    const picked = this.#network[at]!;
    const last = this.#network.pop()!;
    if (at < this.#network.length) this.#network[at] = last;
    const to = this.hosts.find(host => host.address === picked.address);
    if (!to?.core || this.#blocked.has(this.#link(picked.fromHost, to))) return;
    to.core.receive(picked.message, this.nowAt(to));
    this.#perform(to);
  }

  sync(host: ModelHost): void {
    if (!host.core) return;
    const id = host.disk.syncSome(this.#random);
    if (id === undefined) return;
    host.core.stored(id, this.nowAt(host));
    this.#perform(host);
  }

  crash(host: ModelHost): void {
    host.core = undefined;
    host.proposals.clear();
    host.reads.clear();
    host.disk.crash(this.#random);
  }

  restart(host: ModelHost): void {
    const drift = this.#faults.drift;
    host.rate = 1 + (this.#random.next() * 2 - 1) * drift;
    host.offset = this.#random.next() * 1e6;
    host.state = {index: 0, digest: 0};
    const parts = {
      stored: host.disk.open(),
      address: host.address,
      timings: MODEL_TIMINGS,
      random: new Random(this.#random.below(2 ** 31)),
    };
    host.core = new ConsensusCore(parts, this.nowAt(host));
    this.#perform(host);
  }

  /** The host comes back with an empty disk, so with a new identity. */
  loseDisk(host: ModelHost): void {
    this.crash(host);
    host.members = [];
    host.disk = new ModelDisk(this.#makeId());
  }

  /** Blocks one direction; messages vanish silently. */
  block(from: ModelHost, to: ModelHost): void {
    this.#blocked.add(this.#link(from, to));
  }

  heal(): void {
    this.#blocked.clear();
  }

  change(change: MemberChange): void {
    const leader = this.leader();
    const proposal = leader?.core?.changeMembers(change);
    if (!leader || proposal?.kind !== 'added') return;
    leader.core?.flush(this.nowAt(leader));
    this.#perform(leader);
  }

  check(): void {
    let holders = 0;
    for (const host of this.hosts) {
      if (!host.core) continue;
      const status = this.status(host);
      host.members = status.members;
      if (status.role === 'leader') this.#oracle.checkLeader(host, status);
      if (!status.leaseValid) continue;
      holders += 1;
      // A read under a lease must see all that any client was told.
      expect(host.state.index).toBeGreaterThanOrEqual(this.ackedIndex);
    }
    if (holders > 1) throw new Error('two members hold a lease at once');
  }

  /** Ends all faults and expects the group to work again. */
  settle(): void {
    this.heal();
    for (const host of this.hosts) if (!host.core) this.restart(host);
    const target = this.committedIndex + 1;
    const limit = this.time + MODEL_TIMINGS.electionTimeoutMs * 40;
    while (this.time < limit) {
      this.#settleStep();
      const leader = this.leader();
      if (leader && this.#random.next() < 0.01) this.propose(leader);
      if (leader && this.#hasConverged(leader, target)) return;
    }
    throw new Error('not converged after the faults ended');
  }

  #settleStep(): void {
    this.time += this.#random.exponential(MEAN_STEP_MS);
    for (const host of this.hosts) this.sync(host);
    for (let at = this.#network.length; at > 0; at -= 1) this.deliver();
    this.tick(this.#pickHost());
    this.check();
  }

  #hasConverged(leader: ModelHost, target: number): boolean {
    const {members} = this.status(leader);
    const ids = new Set(members.map(member => member.id));
    const alive = this.hosts.filter(host => ids.has(host.disk.id));
    return alive.every(host => host.state.index >= target);
  }

  #perform(host: ModelHost): void {
    for (;;) {
      const actions = host.core?.takeActions() ?? [];
      if (actions.length === 0) return;
      for (const action of actions) this.#performOne(host, action);
    }
  }

  #performOne(host: ModelHost, action: ConsensusAction): void {
    if (action.kind === 'send') {
      this.#send({fromHost: host, ...action});
    } else if (action.kind === 'write' || action.kind === 'saveSnapshot') {
      host.disk.add(action);
    } else if (action.kind === 'apply') {
      for (const entry of action.entries) this.#apply(host, entry);
    } else if (action.kind === 'restore') {
      const {index, data} = action.snapshot;
      this.#oracle.restore(host, index, data);
    } else if (action.kind === 'takeSnapshot') {
      expect(action.index).toBe(host.state.index);
      host.core!.snapshotTaken(action.index, encodeState(host.state));
    } else if (action.kind === 'leadershipLost') {
      host.proposals.clear();
    } else if (action.kind === 'readReady') {
      this.#answerReads(host, action.tokens, action.index);
    }
  }

  #apply(host: ModelHost, entry: LogEntry): void {
    this.#oracle.apply(host, entry);
    if (host.proposals.get(entry.index) !== entry.term) return;
    host.proposals.delete(entry.index);
    if (entry.kind !== ENTRY_KIND.COMMAND) return;
    this.acked += 1;
    this.ackedIndex = Math.max(this.ackedIndex, entry.index);
  }

  #answerReads(
    host: ModelHost,
    tokens: readonly number[],
    index: number,
  ): void {
    expect(host.state.index).toBeGreaterThanOrEqual(index);
    for (const token of tokens) {
      const floor = host.reads.get(token) ?? 0;
      if (host.state.index < floor) throw new Error('a stale read');
      host.reads.delete(token);
      this.readsAnswered += 1;
    }
  }

  #send(flight: InFlight): void {
    const {loss, duplication} = this.#faults;
    if (this.#random.next() < loss) return;
    this.#network.push(flight);
    if (this.#random.next() >= duplication) return;
    this.#late.push(flight);
    if (this.#late.length < MAX_LATE) return;
    const [late] = this.#late.splice(this.#random.below(MAX_LATE), 1);
    if (late) this.#network.push(late);
  }

  #injectFaults(): void {
    const random = this.#random;
    const faults = this.#faults;
    const host = this.#pickHost();
    if (!host.core) {
      if (random.next() < faults.crash * HEAL_FACTOR * 3) this.restart(host);
    } else if (random.next() < faults.crash) {
      this.crash(host);
    }
    if (random.next() < faults.diskLoss && this.#canLose(host)) {
      this.loseDisk(host);
    }
    if (random.next() < faults.partition) this.#partition(host);
    if (random.next() < faults.partition * HEAL_FACTOR) this.heal();
    if (random.next() < faults.memberChange) this.#changeAtRandom();
  }

  #partition(host: ModelHost): void {
    const others = this.hosts.filter(other => other !== host);
    const shape = this.#random.below(4);
    for (const other of others) {
      if (shape !== 1) this.block(host, other);
      if (shape !== 2) this.block(other, host);
      if (shape === 3) return;
    }
  }

  #changeAtRandom(): void {
    const leader = this.leader();
    if (!leader) return;
    const {members} = this.status(leader);
    const host = this.#pickHost();
    const learner = members.find(member => !member.voter);
    const dead = members.find(
      member => !this.hosts.some(({disk: {id}}) => id === member.id),
    );
    const isMember = members.some(member => member.id === host.disk.id);
    let change: MemberChange = {kind: 'remove', id: (dead ?? members[0])!.id};
    if (learner && learner !== dead && this.#random.next() < 0.8) {
      change = {kind: 'promote', id: learner.id};
    } else if (!isMember && host.core) {
      change = {kind: 'addLearner', id: host.disk.id, address: host.address};
    }
    const changed = changeMembers(members, change);
    if (changed.ok && this.#canWork(changed.members)) this.change(change);
  }

  #canLose(host: ModelHost): boolean {
    if (this.committedIndex === 0) return false;
    return this.hosts.every(({members, disk}) => {
      const lists = [members, ...disk.memberLists(decodeMembers)];
      return lists.every(list => this.#canWork(list, host));
    });
  }

  /** True when the voters that still have their disks are a majority. */
  #canWork(members: MemberList, without?: ModelHost): boolean {
    if (members.length === 0) return true;
    const alive = this.hosts.filter(host => host !== without);
    return isMajority(members, new Set(alive.map(host => host.disk.id)));
  }

  /** Any host that believes it leads, deposed ones too. */
  #pickLeader(): ModelHost {
    const leads = (host: ModelHost): boolean =>
      host.core !== undefined && this.status(host).role === 'leader';
    const leaders = this.hosts.filter(leads);
    return this.#random.pick(leaders.length > 0 ? leaders : this.hosts);
  }

  #pickHost(): ModelHost {
    return this.#random.pick(this.hosts);
  }

  #makeId(): MemberId {
    this.#nextId += 1;
    return `member${this.#nextId}`;
  }

  #link(from: ModelHost, to: ModelHost): string {
    return `${from.address}>${to.address}`;
  }
}
