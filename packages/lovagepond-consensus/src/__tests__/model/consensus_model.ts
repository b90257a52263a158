/**
 * Runs several cores through seeded faults, and checks invariants after each
 * step.
 */
import {Random} from '@lovagepond/core';
import {expect} from 'vitest';
import {ConsensusCore} from '../../consensus_core.js';
import {type MemberChange} from '../../consensus_members.js';
import {type ConsensusMessage} from '../../consensus_messages.js';
import {type ConsensusAction} from '../../consensus_outbox.js';
import {
  type ConsensusStatus,
  ENTRY_KIND,
  type LogEntry,
  type MemberId,
} from '../../consensus_types.js';
import {ModelDisk} from './consensus_model_disk.js';
import {
  FaultInjector,
  MODEL_TIMINGS,
  type ModelFaults,
} from './consensus_model_faults.js';
import {encodeState, ModelHost, ModelOracle} from './consensus_model_host.js';

const IDLE_STEP_MS = 20;
const BURST_TOGGLE_SHARE = 0.1;
const DELIVER_SHARE = 0.6;
const PROPOSE_SHARE = 0.08;
const READ_SHARE = 0.02;
const MAX_LATE = 30;
const LOG_CHECK_INTERVAL = 500;

interface InFlight {
  readonly fromHost: ModelHost;
  readonly address: string;
  readonly message: ConsensusMessage;
}

/** The group, its network and the invariant checks. */
export class ConsensusModel {
  readonly hosts: ModelHost[] = [];
  time = 0;
  /** Highest index acknowledged to a client. */
  ackedIndex = 0;
  ackedCount = 0;
  readsAnswered = 0;
  readonly #oracle = new ModelOracle();
  readonly #injector: FaultInjector;
  readonly #random: Random;
  #faults: ModelFaults;
  #network: InFlight[] = [];
  #late: InFlight[] = [];
  readonly #blocked = new Set<string>();
  #isBursting = true;
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
    this.#injector = new FaultInjector(this, this.#random, faults);
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
    const stepMs = this.#stepMs();
    this.time += random.exponential(stepMs);
    if (stepMs === IDLE_STEP_MS) for (const host of this.hosts) this.tick(host);
    let share = random.next();
    const isNext = (part: number): boolean => (share -= part) < 0;
    if (isNext(DELIVER_SHARE)) this.deliver();
    else if (isNext(this.#faults.storeShare)) this.sync(this.#pickUnsynced());
    else if (isNext(PROPOSE_SHARE)) this.#proposeInBurst();
    else if (isNext(READ_SHARE)) this.read(this.pickLeader());
    else this.tick(this.#pickHost());
    this.#injector.inject(stepMs);
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

  /** Proposes in bursts only; #stepMs lets more time pass between them. */
  #proposeInBurst(): void {
    if (this.#random.next() < BURST_TOGGLE_SHARE) {
      this.#isBursting = !this.#isBursting;
    }
    if (this.#isBursting) this.propose(this.pickLeader());
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

  /** Delivers a random message in transit, so the order is not kept. */
  deliver(): void {
    if (this.#network.length === 0) return;
    const at = this.#random.below(this.#network.length);
    const packet = this.#network[at]!;
    const last = this.#network.pop()!;
    if (at < this.#network.length) this.#network[at] = last;
    const to = this.#hostAt(packet.address);
    if (!to?.core || this.#blocked.has(this.#link(packet.fromHost, to))) return;
    to.core.receive(packet.message, this.nowAt(to));
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
    host.crashedAt = this.time;
    host.proposals.clear();
    host.reads.clear();
    host.disk.crash(this.#random);
  }

  /** The process starts some time before its member. */
  restart(host: ModelHost): void {
    const drift = this.#faults.drift;
    host.rate = this.#random.next() < 0.5 ? 1 + drift : 1 - drift;
    host.offset = this.#random.next() * 1e6;
    host.state = {index: 0, digest: 0};
    const downMs = this.time - host.crashedAt;
    const startingMs = this.#random.next() * downMs * host.rate;
    const options = {
      previousRunEndedBy: this.nowAt(host) - startingMs,
      stored: host.disk.open(),
      address: host.address,
      timings: MODEL_TIMINGS,
      random: new Random(this.#random.below(2 ** 31)),
    };
    host.core = new ConsensusCore(options, this.nowAt(host));
    this.#perform(host);
  }

  /** The host returns with an empty disk and so with a new identity. */
  loseDisk(host: ModelHost): void {
    this.crash(host);
    host.members = [];
    host.disk = new ModelDisk(this.#makeId());
  }

  /** Blocks one direction of a link; its messages are lost without an error. */
  block(from: ModelHost, to: ModelHost): void {
    this.#blocked.add(this.#link(from, to));
  }

  heal(): void {
    this.#blocked.clear();
  }

  change(change: MemberChange): void {
    const leader = this.leader();
    const proposal = leader?.core?.changeMembers(change, this.nowAt(leader));
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
      // A read under a lease must return all acknowledged entries.
      expect(host.state.index).toBeGreaterThanOrEqual(this.ackedIndex);
    }
    if (holders > 1) throw new Error('two members hold a lease at once');
  }

  /**
   * Advances the time with fast disks and links; blocked links stay blocked.
   */
  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += 1) {
      this.time += 1;
      for (const host of this.hosts) {
        this.tick(host);
        this.sync(host);
      }
      while (this.#network.length > 0) this.deliver();
      this.check();
    }
  }

  /** Ends all faults and expects the group to recover. */
  expectRecovery(): void {
    this.#faults = {...this.#faults, loss: 0, duplication: 0};
    this.heal();
    for (const host of this.hosts) if (!host.core) this.restart(host);
    const target = this.committedIndex + 1;
    const limit = this.time + MODEL_TIMINGS.electionTimeoutMs * 40;
    while (this.time < limit) {
      this.#recoveryStep();
      const leader = this.leader();
      if (leader && this.#random.next() < 0.01) this.propose(leader);
      if (leader && this.#hasConverged(leader, target)) return;
    }
    throw new Error('group did not recover after the faults ended');
  }

  #recoveryStep(): void {
    this.time += this.#random.exponential(this.#faults.stepMs);
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
    this.ackedCount += 1;
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
      if (host.state.index < floor) throw new Error('stale read');
      host.reads.delete(token);
      this.readsAnswered += 1;
    }
  }

  #send(flight: InFlight): void {
    const {loss, duplication} = this.#faults;
    const to = this.#hostAt(flight.address);
    if (to && this.#blocked.has(this.#link(flight.fromHost, to))) return;
    if (this.#random.next() < loss) return;
    this.#network.push(flight);
    if (this.#random.next() >= duplication) return;
    this.#late.push(flight);
    if (this.#late.length < MAX_LATE) return;
    const [late] = this.#late.splice(this.#random.below(MAX_LATE), 1);
    if (late) this.#network.push(late);
  }

  /** Time advances faster while no message or write is pending. */
  #stepMs(): number {
    const isIdle =
      this.#network.length === 0 &&
      this.hosts.every(host => !host.core || host.disk.isSynced);
    return isIdle ? IDLE_STEP_MS : this.#faults.stepMs;
  }

  /** Returns a random leader, which may be deposed. */
  pickLeader(): ModelHost {
    const leads = (host: ModelHost): boolean =>
      host.core !== undefined && this.status(host).role === 'leader';
    const leaders = this.hosts.filter(leads);
    return this.#random.pick(leaders.length > 0 ? leaders : this.hosts);
  }

  #pickUnsynced(): ModelHost {
    const unsynced = this.hosts.filter(host => !host.disk.isSynced);
    return this.#random.pick(unsynced.length > 0 ? unsynced : this.hosts);
  }

  #pickHost(): ModelHost {
    return this.#random.pick(this.hosts);
  }

  #hostAt(address: string): ModelHost | undefined {
    return this.hosts.find(host => host.address === address);
  }

  #makeId(): MemberId {
    this.#nextId += 1;
    return `member${this.#nextId}`;
  }

  #link(from: ModelHost, to: ModelHost): string {
    return `${from.address}>${to.address}`;
  }
}
