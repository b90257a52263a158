/**
 * Processor time of announcements at the leader.
 */
import {Client, credentials} from '@grpc/grpc-js';
import {
  ControlRole,
  MembershipLog,
  MembershipRegistry,
} from '@lovagepond/control';
import {Random} from '@lovagepond/core';
import {announce, announcementOf} from './control_announcements.js';
import {singleMemberSettings} from './control_group.js';
import {withTemporaryFolder} from './measure_disk.js';
import {MEASURE_CLOCK, NO_LOG, waitUntil} from './measure_environment.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SERVERS = 640;
const ROUNDS = 30;
const CLIENTS = 32;

async function announceRound(clients: readonly Client[]): Promise<void> {
  const share = SERVERS / clients.length;
  const work = clients.map(async (client, index) => {
    for (let n = index * share; n < (index + 1) * share; n += 1) {
      await announce(client, announcementOf(n));
    }
  });
  await Promise.all(work);
}

async function measureOverSockets(): Promise<number> {
  return withTemporaryFolder(async folder => {
    const dependencies = {
      clock: MEASURE_CLOCK,
      log: NO_LOG,
      random: new Random(1),
    };
    const role = new ControlRole(singleMemberSettings(folder), dependencies);
    await role.start();
    await waitUntil(() => role.isReady());
    const target = `127.0.0.1:${role.port}`;
    const clients = Array.from(
      {length: CLIENTS},
      () => new Client(target, credentials.createInsecure()),
    );
    await announceRound(clients);
    await announceRound(clients);
    const cpu = process.cpuUsage();
    for (let round = 0; round < ROUNDS; round += 1) {
      await announceRound(clients);
    }
    const {user, system} = process.cpuUsage(cpu);
    for (const client of clients) client.close();
    await role.stop();
    return (user + system) / (ROUNDS * SERVERS);
  });
}

function measureRegistry(): number {
  const log = new MembershipLog();
  const registry = new MembershipRegistry({leaseMs: 3_000}, log);
  registry.takeOver(1, 0);
  const announcements = Array.from({length: SERVERS}, (_, n) => ({
    ...announcementOf(n),
    name: `muc-riem-engine-${n}`,
    state: 'ready' as const,
  }));
  const run = (round: number): void => {
    const now = round * 1_000;
    for (const server of announcements) registry.announce(server, 'ready', now);
    registry.tick(now);
  };
  for (let round = 0; round < 20; round += 1) run(round);
  const started = performance.now();
  for (let round = 20; round < 120; round += 1) run(round);
  return ((performance.now() - started) * 1000) / (100 * SERVERS);
}

/** @returns processor time per announcement */
export async function measureAnnouncements(): Promise<MeasureSection> {
  const registry = measureRegistry();
  const sockets = await measureOverSockets();
  const percent = (microseconds: number): number =>
    roundTo((microseconds * SERVERS) / 1e4, 2);
  return {
    title: 'Announcements at the leader',
    columns: ['part', 'µs each', `% of a core at ${SERVERS}/s`],
    rows: [
      ['registry alone', roundTo(registry, 2), percent(registry)],
      ['member and client over gRPC', roundTo(sockets, 0), percent(sockets)],
    ],
    notes: [
      `${CLIENTS} connections; member and clients share one process`,
      `${ROUNDS} rounds of ${SERVERS} announcements`,
    ],
  };
}
