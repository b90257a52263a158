/**
 * Commits a second, compared with syncs a second and with the rate of bare
 * appends and syncs of the same batches on the same disk in the same run.
 */
import {
  ConsensusNode,
  DEFAULT_CONSENSUS_TIMINGS,
  FileStorage,
  MemoryNetwork,
  type StateMachine,
} from '@lovagepond/consensus';
import {Random} from '@lovagepond/core';
import {join} from 'node:path';
import {CountingDisk} from './consensus_measure_utils.js';
import {measureBareAppends, withTemporaryFolder} from './measure_disk.js';
import {MEASURE_CLOCK, NO_LOG} from './measure_environment.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const GROUP_SIZES = [1, 3, 5] as const;
const CONCURRENCIES = [1, 16, 256] as const;
const COMMAND_BYTES = 256;
/** Bytes of a log record: the command and its header. */
const RECORD_BYTES = COMMAND_BYTES + 22;
const RUN_MS = 1_000;
const BARE_RUN_MS = 500;
const POLL_MS = 20;

const NOTHING = new Uint8Array();
const IDLE_MACHINE: StateMachine = {
  apply: () => NOTHING,
  snapshot: () => NOTHING,
  restore: () => undefined,
};

interface Group {
  readonly nodes: readonly ConsensusNode[];
  readonly disks: readonly CountingDisk[];
}

interface CommitRun {
  readonly commitsPerSecond: number;
  readonly syncsPerSecond: number;
  readonly batch: number;
}

async function startGroup(size: number, folder: string): Promise<Group> {
  const network = new MemoryNetwork();
  const peers = Array.from({length: size}, (_, at) => `member${at}:1`);
  const disks = peers.map(peer => new CountingDisk(join(folder, peer)));
  const nodes = peers.map((address, at) => {
    const disk = disks[at] ?? join(folder, address);
    return new ConsensusNode(
      {address, peers, timings: DEFAULT_CONSENSUS_TIMINGS},
      {
        stateMachine: IDLE_MACHINE,
        storage: new FileStorage(disk),
        transport: network.attach(address),
        clock: MEASURE_CLOCK,
        random: new Random(at + 1),
        log: NO_LOG,
      },
    );
  });
  for (const node of nodes) await node.start();
  return {nodes, disks};
}

async function findLeader({nodes}: Group): Promise<number> {
  for (;;) {
    const at = nodes.findIndex(node => node.status().leaseValid);
    if (at !== -1) return at;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

async function proposeUntil(
  node: ConsensusNode,
  endAt: number,
): Promise<number> {
  const command = new Uint8Array(COMMAND_BYTES).fill(1);
  let committed = 0;
  while (performance.now() < endAt) {
    const outcome = await node.propose(command);
    if (outcome.kind === 'committed') committed += 1;
  }
  return committed;
}

async function runCommits(group: Group, underWay: number): Promise<CommitRun> {
  const at = await findLeader(group);
  const node = group.nodes[at];
  const disk = group.disks[at];
  if (!node || !disk) throw new Error('the leader is not in the group');
  const syncsBefore = disk.syncs;
  const started = performance.now();
  const callers = Array.from({length: underWay}, () =>
    proposeUntil(node, started + RUN_MS),
  );
  const counts = await Promise.all(callers);
  const committed = counts.reduce((sum, count) => sum + count, 0);
  const seconds = (performance.now() - started) / 1000;
  const syncs = disk.syncs - syncsBefore;
  return {
    commitsPerSecond: committed / seconds,
    syncsPerSecond: syncs / seconds,
    batch: committed / Math.max(1, syncs),
  };
}

/** @returns syncs a second of each of several concurrent writers */
async function measureBareSyncs(
  folder: string,
  bytes: number,
  writers: number,
): Promise<number> {
  const runs = Array.from({length: writers}, (_, at) =>
    measureBareAppends(join(folder, `bare${at}`), bytes, BARE_RUN_MS),
  );
  const rates = await Promise.all(runs);
  return rates.reduce((sum, rate) => sum + rate, 0) / writers;
}

async function measureGroup(size: number): Promise<(string | number)[][]> {
  return withTemporaryFolder(async folder => {
    const group = await startGroup(size, folder);
    const rows: (string | number)[][] = [];
    for (const underWay of CONCURRENCIES) {
      await runCommits(group, underWay);
      const run = await runCommits(group, underWay);
      const bytes = RECORD_BYTES * run.batch;
      const alone = await measureBareSyncs(folder, bytes, 1);
      const together = await measureBareSyncs(folder, bytes, size);
      rows.push([
        size,
        underWay,
        Math.round(run.commitsPerSecond),
        Math.round(run.syncsPerSecond),
        roundTo(run.batch, 1),
        Math.round(alone),
        Math.round(together),
        roundTo((alone * run.batch) / run.commitsPerSecond, 2),
        roundTo((together * run.batch) / run.commitsPerSecond, 2),
      ]);
    }
    for (const node of group.nodes) await node.stop();
    return rows;
  });
}

/** @returns commits a second by group size and concurrent proposals */
export async function measureCommitRate(): Promise<MeasureSection> {
  const rows: (string | number)[][] = [];
  for (const size of GROUP_SIZES) rows.push(...(await measureGroup(size)));
  return {
    title: 'Commits a second, and the disk in the same run',
    columns: [
      'members',
      'concurrent',
      'commits/s',
      'leader syncs/s',
      'commits/sync',
      'bare syncs/s, one writer',
      'bare syncs/s, a writer per member',
      'limit / commits, one writer',
      'limit / commits, a writer per member',
    ],
    rows,
    notes: [
      `commands of ${COMMAND_BYTES} bytes; members share one process and one disk`,
      'limit: rate of bare append and sync of the batch, times its size; all of a',
      "group's members sync for each commit, here on one disk",
      `each run ${RUN_MS} ms after a warm-up run, bare runs ${BARE_RUN_MS} ms`,
    ],
  };
}
