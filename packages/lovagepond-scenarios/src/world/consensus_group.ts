/**
 * Control hosts with the real consensus core and state machine, in-memory disks
 * and a network with 1 ms latency that can be cut in each direction.
 */
import {
  type ConsensusAction,
  ConsensusCore,
  type ConsensusMessage,
  DEFAULT_CONSENSUS_TIMINGS,
  type LogEntry,
  type Member,
  type MemberChange,
  type Proposal,
  type Snapshot,
  type StorageWrite,
  type StoredState,
} from '@lovagepond/consensus';
import {CONTROL_DEFAULTS} from '@lovagepond/control';
import {ControlStateMachine, encodeCommand} from '@lovagepond/control/deciders';
import {type Command, invariant, Random} from '@lovagepond/core';
import {type Timeline} from './timeline.js';

const TICK_MS = 20;
const NETWORK_MS = 1;
const SYNC_MS = 1;
/** Small limits, so that a host that missed entries needs a snapshot. */
const TIMINGS = {
  ...DEFAULT_CONSENSUS_TIMINGS,
  snapshotEveryEntries: 100,
  keptEntries: 10,
};

type ActionHandlers = {
  readonly [Kind in ConsensusAction['kind']]: (
    action: Extract<ConsensusAction, {kind: Kind}>,
  ) => void;
};

/** A host's disk, which survives a crash of the host. */
class HostDisk {
  #state: StoredState;

  constructor(id: string) {
    this.#state = {id, hardState: {term: 0, vote: ''}, entries: []};
  }

  get state(): StoredState {
    return this.#state;
  }

  write({hardState, truncateFrom, entries}: StorageWrite): void {
    const kept = this.#state.entries.filter(
      entry => truncateFrom === undefined || entry.index < truncateFrom,
    );
    this.#state = {
      ...this.#state,
      ...(hardState && {hardState}),
      entries: [...kept, ...entries],
    };
  }

  saveSnapshot(snapshot: Snapshot): void {
    const {index, term} = snapshot;
    const stored = this.#state.entries;
    const isInLog = stored.some(e => e.index === index && e.term === term);
    const entries = isInLog ? stored.filter(entry => entry.index > index) : [];
    this.#state = {...this.#state, snapshot, entries};
  }
}

/** One control host. */
export class ControlHost {
  readonly name: string;
  machine: ControlStateMachine;
  /** Index to term of the entries that this host applied. */
  readonly applied = new Map<number, number>();
  /** Number of snapshots that this host restored from a leader. */
  restoredSnapshots = 0;
  readonly answeredReads = new Set<number>();
  #disk: HostDisk;
  #core: ConsensusCore | undefined;
  readonly #group: ConsensusGroup;
  readonly #timeline: Timeline;
  readonly #handlers: ActionHandlers;

  constructor(name: string, group: ConsensusGroup, timeline: Timeline) {
    this.name = name;
    this.#group = group;
    this.#timeline = timeline;
    this.#disk = new HostDisk(`${name}-disk-1`);
    this.machine = this.#createMachine();
    this.#handlers = this.#makeHandlers();
    timeline.repeat(TICK_MS, () => {
      this.#core?.tick(timeline.now);
      this.perform();
    });
  }

  /** Member id, which belongs to the host's disk. */
  get id(): string {
    return this.#disk.state.id;
  }

  /** True while the process runs. */
  get isUp(): boolean {
    return this.#core !== undefined;
  }

  /** The running core. */
  get core(): ConsensusCore {
    if (!this.#core) throw new Error(`${this.name} is not running`);
    return this.#core;
  }

  /** True while the host holds a valid leader lease. */
  get leads(): boolean {
    return this.#core?.status(this.#timeline.now).leaseValid ?? false;
  }

  /** Names of the pools in this host's applied configuration. */
  get pools(): string {
    const {content} = this.machine.configuration.current.read();
    return content.pools.map(pool => pool.name).join(', ');
  }

  /** Starts the process from the state on the disk. */
  start(): void {
    const stored = this.#disk.state;
    this.machine = this.#createMachine();
    if (stored.snapshot) this.machine.restore(stored.snapshot.data);
    const random = new Random(this.#group.nextSeed());
    const dependencies = {stored, address: this.name, timings: TIMINGS, random};
    this.#core = new ConsensusCore(dependencies, this.#timeline.now);
  }

  /** Stops the process at once; the disk is kept. */
  crash(): void {
    this.#core = undefined;
  }

  /** Replaces the disk by an empty one with another member id. */
  replaceDisk(): void {
    this.#disk = new HostDisk(`${this.name}-disk-2`);
  }

  /** @param message a message from another host */
  receive(message: ConsensusMessage): void {
    this.#core?.receive(message, this.#timeline.now);
    this.perform();
  }

  /** Carries out the core's pending actions. */
  perform(): void {
    for (;;) {
      const actions = this.#core?.takeActions() ?? [];
      if (actions.length === 0) return;
      for (const action of actions) {
        this.#handlers[action.kind](action as never);
      }
    }
  }

  #createMachine(): ControlStateMachine {
    return new ControlStateMachine(CONTROL_DEFAULTS, () => this.#timeline.now);
  }

  #scheduleWrite(id: number, store: () => void): void {
    const core = this.#core;
    this.#timeline.schedule(SYNC_MS, () => {
      // A crash discards writes that were not synced.
      if (this.#core !== core) return;
      store();
      this.#core?.stored(id, this.#timeline.now);
      this.perform();
    });
  }

  #apply(entry: LogEntry): void {
    this.applied.set(entry.index, entry.term);
    if (entry.kind === 'command') this.machine.apply(entry.data, entry.index);
  }

  #makeHandlers(): ActionHandlers {
    return {
      send: ({address, message}) => {
        this.#group.send(this.name, address, message);
      },
      write: ({id, write}) => {
        const disk = this.#disk;
        this.#scheduleWrite(id, () => {
          disk.write(write);
        });
      },
      saveSnapshot: ({id, snapshot}) => {
        const disk = this.#disk;
        this.#scheduleWrite(id, () => {
          disk.saveSnapshot(snapshot);
        });
      },
      apply: ({entries}) => {
        for (const entry of entries) this.#apply(entry);
      },
      restore: ({snapshot}) => {
        this.restoredSnapshots += 1;
        this.machine.restore(snapshot.data);
      },
      takeSnapshot: ({index}) => {
        this.core.snapshotTaken(index, this.machine.snapshot());
      },
      leaderChanged: () => undefined,
      leadershipLost: () => undefined,
      readReady: ({tokens}) => {
        for (const token of tokens) this.answeredReads.add(token);
      },
      readRefused: () => undefined,
    };
  }
}

/** The hosts and the network between them. */
export class ConsensusGroup {
  readonly hosts: ControlHost[];
  readonly #timeline: Timeline;
  /** `from to` pairs between which messages are dropped. */
  readonly #cuts = new Set<string>();
  #seed = 100;

  constructor(names: readonly string[], timeline: Timeline) {
    this.#timeline = timeline;
    this.hosts = names.map(name => new ControlHost(name, this, timeline));
    for (const host of this.hosts) host.start();
    const [first] = this.hosts;
    invariant(first, 801, 'a consensus group needs at least one host');
    first.core.bootstrap(
      this.hosts.map((host): Member => ({
        id: host.id,
        address: host.name,
        voter: true,
      })),
    );
  }

  /** @returns a seed that no earlier start of a host used */
  nextSeed(): number {
    this.#seed += 1;
    return this.#seed;
  }

  /** The host that holds the leader lease. */
  get leader(): ControlHost {
    const leading = this.hosts.filter(host => host.leads);
    if (leading.length > 1) throw new Error('two hosts hold a leader lease');
    const [leader] = leading;
    if (!leader) throw new Error('no host holds a leader lease');
    return leader;
  }

  /**
   * @param name a host's name
   * @returns the host
   */
  host(name: string): ControlHost {
    const found = this.hosts.find(host => host.name === name);
    if (!found) throw new Error(`no control host is named ${name}`);
    return found;
  }

  /** @param name a new host with an empty disk, not yet a member */
  addHost(name: string): ControlHost {
    const host = new ControlHost(name, this, this.#timeline);
    host.start();
    this.hosts.push(host);
    return host;
  }

  /** Drops messages from one host to another, without an error. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Removes all cuts. */
  heal(): void {
    this.#cuts.clear();
  }

  send(from: string, to: string, message: ConsensusMessage): void {
    this.#timeline.schedule(NETWORK_MS, () => {
      if (this.#cuts.has(`${from} ${to}`)) return;
      this.hosts.find(host => host.name === to)?.receive(message);
    });
  }

  /**
   * @param host the host that receives the proposal
   * @param command the command
   * @param payload its payload
   * @returns its index and term in that host's log, or why it was refused
   */
  propose<Payload>(
    host: ControlHost,
    command: Command<Payload>,
    payload: Payload,
  ): Proposal {
    const {now} = this.#timeline;
    const timeMs = host.machine.time.stamp(now);
    const {term} = host.core.status(now);
    const stamp = {timeMs, wallTimeMs: now, term};
    const proposal = host.core.propose(encodeCommand(command, payload, stamp));
    host.core.flush(now);
    host.perform();
    return proposal;
  }

  /**
   * @param change one membership change, proposed at the leader
   * @returns its index and term in the log, or why it was refused
   */
  changeMembers(change: MemberChange): Proposal {
    const {leader} = this;
    const proposal = leader.core.changeMembers(change, this.#timeline.now);
    leader.core.flush(this.#timeline.now);
    leader.perform();
    return proposal;
  }

  /**
   * @param host the host that received the proposal
   * @param proposal the proposal's index and term
   * @returns true when that host has applied the proposal
   */
  isCommitted(host: ControlHost, proposal: Proposal): boolean {
    if (proposal.kind !== 'added') return false;
    return host.applied.get(proposal.index) === proposal.term;
  }
}
