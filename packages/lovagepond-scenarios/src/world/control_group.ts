/**
 * Three control members with their real state machines over a fake replicated
 * log, which behaves as the consensus tests require of the real one.
 */
import {type ChangeOutcome, type ConsensusNode} from '@lovagepond/consensus';
import {type ChangeAnswer, CONTROL_DEFAULTS} from '@lovagepond/control';
import {
  type AnyChangeRequest,
  type CommandStamp,
  ConfigurationChanger,
  ControlStateMachine,
  decodeResult,
  encodeCommand,
  Proposer,
  type ReplicatedLog,
} from '@lovagepond/control/deciders';
import {type Clock, type Command} from '@lovagepond/core';
import {type Timeline} from './timeline.js';

const MEMBER_COUNT = 3;

type ProposeOutcome = Awaited<ReturnType<ConsensusNode['propose']>>;
type ReadOutcome = Awaited<ReturnType<ConsensusNode['readBarrier']>>;

/** One member: its state machine and its interface to the fake log. */
export class GroupMember implements ReplicatedLog {
  readonly name: string;
  machine: ControlStateMachine;
  /** Number of log entries that this member applied since its last start. */
  replayed = 0;
  /** True when the next answer to an operator is lost after the commit. */
  losesNextAnswer = false;
  readonly #group: ControlGroup;
  readonly #clock: Clock;

  constructor(name: string, group: ControlGroup, clock: Clock) {
    this.name = name;
    this.#group = group;
    this.#clock = clock;
    this.machine = this.#createMachine();
  }

  /**
   * @param req an operator's change
   * @returns the member's answer
   */
  change(req: AnyChangeRequest): Promise<ChangeAnswer> {
    const {machine} = this;
    const dependencies = {log: this, machine, clock: this.#clock};
    return new ConfigurationChanger(machine, new Proposer(dependencies)).change(
      req,
    );
  }

  /** @param bytes a committed command */
  apply(bytes: Uint8Array): Uint8Array {
    this.replayed += 1;
    return this.machine.apply(bytes, 0);
  }

  /** @param snapshot the leader's state, which replaces this member's state */
  restart(snapshot: Uint8Array): void {
    this.machine = this.#createMachine();
    this.machine.restore(snapshot);
    this.replayed = 0;
  }

  propose(command: Uint8Array): Promise<ProposeOutcome> {
    if (this.#group.leader !== this) {
      return Promise.resolve({kind: 'notLeader'});
    }
    const result = this.#group.commit(command);
    const lost = this.losesNextAnswer;
    this.losesNextAnswer = false;
    if (lost) return Promise.resolve({kind: 'unknown'});
    return Promise.resolve({kind: 'committed', result, index: 0});
  }

  readBarrier(): Promise<ReadOutcome> {
    const leads = this.#group.leader === this;
    if (!leads) return Promise.resolve({kind: 'notLeader'});
    return Promise.resolve({kind: 'ok', index: 0});
  }

  status(): ReturnType<ConsensusNode['status']> {
    const {term, leader} = this.#group;
    const self = {id: this.name, address: this.name, voter: true};
    return {
      id: this.name,
      role: leader === this ? 'leader' : 'follower',
      term,
      leader: {...self, id: leader.name, address: leader.name},
      commitIndex: 0,
      appliedIndex: 0,
      lastIndex: 0,
      snapshotIndex: 0,
      members: [self],
      leaseValid: leader === this,
    };
  }

  onLeaderChange(): () => void {
    return () => undefined;
  }

  addLearner(): Promise<ChangeOutcome> {
    return Promise.resolve({kind: 'unknown'});
  }

  promote(): Promise<ChangeOutcome> {
    return Promise.resolve({kind: 'unknown'});
  }

  removeMember(): Promise<ChangeOutcome> {
    return Promise.resolve({kind: 'unknown'});
  }

  replaceMember(): Promise<ChangeOutcome> {
    return Promise.resolve({kind: 'unknown'});
  }

  #createMachine(): ControlStateMachine {
    return new ControlStateMachine(CONTROL_DEFAULTS, () => this.#clock.now());
  }
}

/** The members and their current leader. */
export class ControlGroup {
  readonly members: readonly GroupMember[];
  leader: GroupMember;
  term = 1;
  readonly #clock: Clock;
  readonly #stopped = new Set<GroupMember>();

  constructor(timeline: Timeline) {
    this.#clock = {now: () => timeline.now, wallTime: () => timeline.now};
    this.members = Array.from(
      {length: MEMBER_COUNT},
      (_, index) => new GroupMember(`control-${index + 1}`, this, this.#clock),
    );
    this.leader = this.member('control-1');
  }

  /**
   * @param name a member's name
   * @returns the member
   */
  member(name: string): GroupMember {
    const found = this.members.find(member => member.name === name);
    if (!found) throw new Error(`no control member is named ${name}`);
    return found;
  }

  /** True while a majority of the members runs. */
  get hasMajority(): boolean {
    return this.#stopped.size < this.members.length / 2;
  }

  /**
   * @param member a member
   * @returns true while the member is stopped
   */
  isStopped(member: GroupMember): boolean {
    return this.#stopped.has(member);
  }

  /** Makes another running member the leader in a new term. */
  changeLeader(): void {
    const next = this.members.find(
      member => member !== this.leader && !this.#stopped.has(member),
    );
    if (!next) throw new Error('no other control member is running');
    this.leader = next;
    this.term += 1;
  }

  /** @param name the member to stop; a stopped leader is replaced */
  stop(name: string): void {
    const member = this.member(name);
    this.#stopped.add(member);
    if (member === this.leader) this.changeLeader();
  }

  /** @param name a stopped member to restart from the leader's snapshot */
  restart(name: string): void {
    const member = this.member(name);
    this.#stopped.delete(member);
    member.restart(this.leader.machine.snapshot());
  }

  /**
   * @param bytes an encoded command
   * @returns the leader's result
   */
  commit(bytes: Uint8Array): Uint8Array {
    const running = this.members.filter(member => !this.#stopped.has(member));
    const results = running.map(member => member.apply(bytes));
    const result = results[running.indexOf(this.leader)];
    if (!result) throw new Error('the leader is not running');
    return result;
  }

  /**
   * Proposes a command at the leader and commits it immediately.
   *
   * @param command the command
   * @param payload its payload
   * @returns its result
   */
  execute<Payload, Value>(command: Command<Payload>, payload: Payload): Value {
    const now = this.#clock.now();
    const stamp: CommandStamp = {
      timeMs: this.leader.machine.time.stamp(now),
      wallTimeMs: now,
      term: this.term,
    };
    return decodeResult(this.commit(encodeCommand(command, payload, stamp)));
  }
}
