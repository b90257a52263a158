/**
 * Time for which a group has no leader that can commit, after a fault of the
 * leader and after a restart of the whole group, in virtual time.
 */
import {
  type ConsensusAction,
  ConsensusCore,
  DEFAULT_CONSENSUS_TIMINGS,
  type Member,
  type StoredState,
} from '@lovagepond/consensus';
import {Random} from '@lovagepond/core';
import {Distribution, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {VirtualTime} from './virtual_time.js';

const SEEDS = 400;
const GROUP_SIZES = [3, 5] as const;
const RESTART_SIZES = [3, 6, 8] as const;
const LATENCY_MS = 1;
const SYNC_MS = 2;
const TICK_MS = 25;
const SETTLE_TIMEOUTS = 6;
const MAX_WAIT_TIMEOUTS = 60;
/** Time from the start of a process to the start of its consensus member. */
const START_MS = 300;
/** Window within which all processes start after the restart of the group. */
const START_WINDOW_MS = 200;
const TIMINGS = DEFAULT_CONSENSUS_TIMINGS;
const TIMEOUT = TIMINGS.electionTimeoutMs;

/** Faults injected at the leader. */
const LEADER_FAULTS = {
  crash: 'the leader crashes',
  inboundCut: 'messages to the leader are cut',
  outboundCut: 'messages from the leader are cut',
} as const;

type LeaderFault = keyof typeof LEADER_FAULTS;

interface Peer {
  readonly member: Member;
  readonly core: ConsensusCore;
}

/** Simulated members of one group, with simulated links and disks. */
class FailoverGroup {
  readonly time = new VirtualTime();
  readonly #random: Random;
  #peers: Peer[] = [];
  #faulty: Peer | undefined;
  #fault: LeaderFault | undefined;

  constructor(size: number, random: Random) {
    const members = Array.from({length: size}, (_, at): Member => {
      return {id: `member${at}`, address: `member${at}:1`, voter: true};
    });
    this.#random = random;
    const hardState = {term: 0, vote: ''};
    for (const {id, address} of members) {
      this.#start({id, hardState, entries: []}, address);
    }
    const [first] = this.#peers;
    if (first) {
      this.#run(first, core => {
        core.bootstrap(members);
      });
    }
  }

  /** @returns the leader with a valid lease, except the faulty member */
  findLeader(): Peer | undefined {
    return this.#peers.find(peer => {
      const isWorking = peer !== this.#faulty;
      return isWorking && peer.core.status(this.time.now).leaseValid;
    });
  }

  injectFault(peer: Peer, fault: LeaderFault): void {
    this.#faulty = peer;
    this.#fault = fault;
  }

  /**
   * Stops all members and starts them again within a window.
   *
   * @param fromProcessStart each core is given the start of its process, not
   *     that of its member, as the latest end of its previous run
   */
  restartAll(fromProcessStart: boolean): void {
    const members = this.#peers.map(({member}) => member);
    this.#peers = [];
    const snapshot = {index: 1, term: 1, members, data: new Uint8Array()};
    const hardState = {term: 1, vote: ''};
    for (const {id, address} of members) {
      const startedAt = this.time.now + this.#random.next() * START_WINDOW_MS;
      this.time.at(startedAt + START_MS, () => {
        const previousRunEndedBy = fromProcessStart ? startedAt : this.time.now;
        const stored = {id, hardState, snapshot, entries: []};
        this.#start(stored, address, previousRunEndedBy);
      });
    }
  }

  #start(stored: StoredState, address: string, previousRunEndedBy = 0): void {
    const random = this.#random;
    const dependencies = {
      stored,
      address,
      timings: TIMINGS,
      random,
      previousRunEndedBy,
    };
    const core = new ConsensusCore(dependencies, this.time.now);
    const peer = {member: {id: stored.id, address, voter: true}, core};
    this.#peers.push(peer);
    this.time.every(TICK_MS, this.time.now + random.next() * TICK_MS, () => {
      if (!this.#peers.includes(peer)) return;
      this.#run(peer, one => {
        one.tick(this.time.now);
      });
    });
  }

  #run(peer: Peer, step: (core: ConsensusCore) => void): void {
    if (peer === this.#faulty && this.#fault === 'crash') return;
    step(peer.core);
    for (;;) {
      const actions = peer.core.takeActions();
      if (actions.length === 0) return;
      for (const action of actions) this.#perform(peer, action);
    }
  }

  #perform(peer: Peer, action: ConsensusAction): void {
    if (action.kind === 'send') {
      if (peer === this.#faulty && this.#fault === 'outboundCut') return;
      const to = this.#peers.find(
        ({member}) => member.address === action.address,
      );
      if (!to || (to === this.#faulty && this.#fault === 'inboundCut')) return;
      this.time.after(LATENCY_MS, () => {
        this.#run(to, core => {
          core.receive(action.message, this.time.now);
        });
      });
    } else if (action.kind === 'write' || action.kind === 'saveSnapshot') {
      this.time.after(SYNC_MS, () => {
        this.#run(peer, core => {
          core.stored(action.id, this.time.now);
        });
      });
    }
  }
}

/** @returns milliseconds until another leader has a valid lease */
function runOnce(size: number, fault: LeaderFault, seed: number): number {
  const random = new Random(seed);
  const group = new FailoverGroup(size, random);
  const settled = TIMEOUT * (SETTLE_TIMEOUTS + random.next());
  group.time.runUntil(settled);
  const leader = group.findLeader();
  if (!leader) throw new Error(`no leader before the fault, seed ${seed}`);
  const faultAt = group.time.now;
  group.injectFault(leader, fault);
  const waitUntil = faultAt + TIMEOUT * MAX_WAIT_TIMEOUTS;
  while (!group.findLeader() && group.time.now < waitUntil) {
    group.time.runUntil(group.time.now + 1);
  }
  return group.time.now - faultAt;
}

function measureCase(size: number, fault: LeaderFault): (string | number)[] {
  const times = new Distribution(0.001);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    times.record(runOnce(size, fault, seed) / TIMEOUT);
  }
  const shown = [times.mean, times.percentile(50), times.percentile(95)];
  return [
    size,
    LEADER_FAULTS[fault],
    ...[...shown, times.max].map(value => roundTo(value, 2)),
  ];
}

/** @returns milliseconds from the last process start to a leader */
function runRestart(
  size: number,
  fromProcessStart: boolean,
  seed: number,
): number {
  const group = new FailoverGroup(size, new Random(seed));
  group.time.runUntil(TIMEOUT * SETTLE_TIMEOUTS);
  const from = group.time.now + START_WINDOW_MS;
  group.restartAll(fromProcessStart);
  const waitUntil = from + TIMEOUT * MAX_WAIT_TIMEOUTS;
  while (!group.findLeader() && group.time.now < waitUntil) {
    group.time.runUntil(group.time.now + 1);
  }
  return group.time.now - from;
}

/** @returns time to a leader after a restart of all members */
export function measureGroupRestart(): MeasureSection {
  return {
    title: 'All members stop and start: time until one has committed',
    columns: ['members', 'promise counted from', 'mean', 'p50', 'p95', 'max'],
    rows: RESTART_SIZES.flatMap(size =>
      [false, true].map(fromProcessStart => {
        const times = new Distribution(0.1);
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          times.record(runRestart(size, fromProcessStart, seed));
        }
        const shown = [times.mean, times.percentile(50), times.percentile(95)];
        return [
          size,
          fromProcessStart ? "the process's start" : "the member's start",
          ...[...shown, times.max].map(value => roundTo(value, 0)),
        ];
      }),
    ),
    notes: [
      `milliseconds after the last process started, virtual time; election ` +
        `timeout ${TIMEOUT} ms`,
      `seeds 1 to ${SEEDS}; processes start within ${START_WINDOW_MS} ms and ` +
        `take ${START_MS} ms until their member starts`,
    ],
  };
}

/** @returns time without a leader, by group size and fault */
export function measureFailover(): MeasureSection {
  const faults = Object.keys(LEADER_FAULTS) as LeaderFault[];
  return {
    title: 'Failover: time until another leader has committed',
    columns: ['members', 'fault', 'mean', 'p50', 'p95', 'max'],
    rows: GROUP_SIZES.flatMap(size =>
      faults.map(fault => measureCase(size, fault)),
    ),
    notes: [
      `in election timeouts of ${TIMEOUT} ms, virtual time`,
      `seeds 1 to ${SEEDS}; ${LATENCY_MS} ms one way, ${SYNC_MS} ms a sync`,
    ],
  };
}
