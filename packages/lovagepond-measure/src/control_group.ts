/**
 * Control members for measurements: in this process, on real files, with
 * counted syncs.
 */
import {
  ConsensusNode,
  type ConsensusStorage,
  FileStorage,
  MemoryNetwork,
  type Snapshot,
  type StorageWrite,
  type StoredState,
} from '@lovagepond/consensus';
import {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  type ControlRole,
  ControlStateMachine,
  LedgerHandler,
  Proposer,
} from '@lovagepond/control';
import {Random} from '@lovagepond/core';
import {join} from 'node:path';
import {MEASURE_CLOCK, NO_LOG, waitUntil} from './measure_environment.js';

/** File storage of one member that counts syncs. */
export class CountingStorage implements ConsensusStorage {
  syncs = 0;
  readonly #inner: FileStorage;

  constructor(folder: string) {
    this.#inner = new FileStorage(folder);
  }

  open(): Promise<StoredState> {
    return this.#inner.open();
  }

  write(writes: readonly StorageWrite[]): Promise<void> {
    this.syncs += 1;
    return this.#inner.write(writes);
  }

  saveSnapshot(snapshot: Snapshot): Promise<void> {
    return this.#inner.saveSnapshot(snapshot);
  }

  seal(): Promise<void> {
    return this.#inner.seal();
  }

  close(): Promise<void> {
    return this.#inner.close();
  }
}

/** A group of members connected in memory, without gRPC. */
export interface LedgerGroup {
  readonly leader: LedgerHandler;
  /** Syncs of the leader so far. */
  readonly syncs: () => number;
  stop(): Promise<void>;
}

/**
 * @param count number of members
 * @param folder parent folder of their files
 * @returns the group, once it has a leader
 */
export async function startLedgerGroup(
  count: number,
  folder: string,
): Promise<LedgerGroup> {
  const network = new MemoryNetwork();
  const peers = Array.from({length: count}, (_, n) => `member-${n}:1`);
  const members = peers.map((address, n) => {
    const storage = new CountingStorage(join(folder, `member-${n}`));
    const clock = MEASURE_CLOCK;
    const machine = new ControlStateMachine(CONTROL_DEFAULTS, () =>
      clock.now(),
    );
    const node = new ConsensusNode(
      {address, peers, timings: CONTROL_TIMINGS},
      {
        stateMachine: machine,
        storage,
        transport: network.attach(address),
        clock,
        random: new Random(n + 1),
        log: NO_LOG,
      },
    );
    return {node, storage, proposer: new Proposer({log: node, machine, clock})};
  });
  for (const {node} of members) await node.start();
  await waitUntil(() => members.some(({proposer}) => proposer.leads()));
  const leader = members.find(({proposer}) => proposer.leads());
  if (!leader) throw new Error('the leader stepped down during the start');
  return {
    leader: new LedgerHandler(leader.proposer),
    syncs: () => leader.storage.syncs,
    stop: async () => {
      for (const {node} of members) await node.stop();
    },
  };
}

/** Settings of a group with a single member. */
export function singleMemberSettings(
  folder: string,
): ConstructorParameters<typeof ControlRole>[0] {
  return {
    ...CONTROL_DEFAULTS,
    nodeName: 'control-1',
    region: 'region',
    availabilityZone: 'zone',
    address: 'control-1:1',
    host: '127.0.0.1',
    port: 0,
    administrationAddress: '',
    members: ['control-1:1'],
    dataFolder: folder,
  };
}
