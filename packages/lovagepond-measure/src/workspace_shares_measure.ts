/**
 * Bytes, processor time and memory of the exchange of demand, at the size that
 * the design page names.
 */
import {
  RouterReports,
  UpdateEncoder,
  WorkspaceDemandFeed,
  readReadings,
} from '@lovagepond/control/deciders';
import {Random} from '@lovagepond/core';
import {
  GatewayFleet,
  GatewayLoadReports,
  GatewayShares,
  PrefillRate,
} from '@lovagepond/gateway/deciders';
import {lovagepond} from '@lovagepond/protocol';
import {measureHeap} from './measure_heap.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const {v1} = lovagepond;

const SEED = 370;
const GATEWAYS = 370;
const WORKSPACES = 480;
const POOL = 'text-generation';
const REQUEST_MS = 10;
/** Requests in the measured second: 1.6 times 640 servers, 4 slots each. */
const REQUESTS_PER_GATEWAY = 280;
const REPORTS_PER_SECOND = 2;
const ROUNDS = 20;
/** Largest number of reports in the log for followers. */
const LOGGED_REPORTS = 2_047;

function makeShares(random: Random): GatewayShares {
  const shares = new GatewayShares();
  for (let at = 0; at < REQUESTS_PER_GATEWAY; at += 1) {
    // A few workspaces have most of the work, as the product of two draws.
    const index = Math.floor(
      (random.below(WORKSPACES) * random.below(WORKSPACES)) / WORKSPACES,
    );
    const workspace = `workspace-${index}`;
    const now = (at * 1_000) / REQUESTS_PER_GATEWAY;
    shares.noteOffered(POOL, workspace, REQUEST_MS, now);
    if (at % 2 === 0) shares.noteSent(POOL, workspace, REQUEST_MS, now);
  }
  shares.setCongested(POOL, true, 999);
  return shares;
}

function makeReports(shares: GatewayShares, name: string): GatewayLoadReports {
  return new GatewayLoadReports(
    name,
    new GatewayFleet(),
    new PrefillRate(40),
    shares,
  );
}

/** @returns µs per call; the last of the rounds, with compiled code */
function timeEach(count: number, run: (at: number) => void): number {
  let microseconds = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const started = performance.now();
    for (let at = 0; at < count; at += 1) run(at);
    microseconds = ((performance.now() - started) * 1_000) / count;
  }
  return roundTo(microseconds, 2);
}

interface Fleet {
  readonly shares: readonly GatewayShares[];
  readonly reports: readonly Uint8Array[];
  readonly member: RouterReports;
  readonly memberBytes: number;
  readonly updates: readonly Buffer[];
}

function exchangeOnce(): Fleet {
  const random = new Random(SEED);
  const encoder = new UpdateEncoder();
  const shares = Array.from({length: GATEWAYS}, () => makeShares(random));
  const reports = shares.map((one, at) => {
    const node = `gateway-${at}`;
    const report = makeReports(one, node).takeReport(999) ?? {};
    return v1.ReadingReport.encode({...report, node}).finish();
  });
  const {value: member, bytes: memberBytes} = measureHeap(() => {
    const made = new RouterReports();
    for (const bytes of reports) {
      made.demand.record(readReadings(v1.ReadingReport.decode(bytes)), 0);
    }
    return made;
  });
  const updates = shares.map((_, at) => {
    const feed = new WorkspaceDemandFeed(`gateway-${at}`);
    const demand = feed.next(member.demand, 0);
    return encoder.encode({kind: 'readings', reports: [], demand});
  });
  return {shares, reports, member, memberBytes, updates};
}

/** @returns bytes/s that a gateway receives while several pools are congested */
function receivedWith(pools: number, {reports}: Fleet): number {
  const member = new RouterReports();
  for (const bytes of reports) {
    const report = readReadings(v1.ReadingReport.decode(bytes));
    const demand = Array.from({length: pools}, (_, at) =>
      (report.demand ?? []).map(one => ({...one, pool: `${POOL}-${at}`})),
    ).flat();
    member.demand.record({...report, demand}, 0);
  }
  const feed = new WorkspaceDemandFeed('gateway-0');
  const demand = feed.next(member.demand, 0);
  const update = {kind: 'readings', reports: [], demand} as const;
  return new UpdateEncoder().encode(update).length * REPORTS_PER_SECOND;
}

function measureBytes(fleet: Fleet): MeasureSection {
  const {reports, updates} = fleet;
  const sumOf = (messages: readonly Uint8Array[]): number =>
    messages.reduce((sum, {length}) => sum + length, 0);
  const received = (sumOf(updates) / GATEWAYS) * REPORTS_PER_SECOND;
  const sent = (sumOf(reports) / GATEWAYS) * REPORTS_PER_SECOND;
  return {
    title: 'Bytes of the exchange of demand, for one congested pool',
    columns: ['link', 'bytes/s'],
    rows: [
      ['member to one gateway', Math.round(received)],
      ...[2, 4, 6, 12].map(pools => [
        `the same, ${pools} congested pools`,
        receivedWith(pools, fleet),
      ]),
      ['one gateway to its member', Math.round(sent)],
      ['all gateways to the leader', Math.round(sent * GATEWAYS)],
    ],
    notes: [
      `seed ${SEED}; npm run measure -- workspace-shares`,
      `${GATEWAYS} gateways, ${WORKSPACES} workspaces; messages without the ` +
        'frames of gRPC',
    ],
  };
}

function measureCosts(fleet: Fleet): MeasureSection {
  const {shares, reports, member, updates} = fleet;
  const [own] = shares;
  const [update] = updates;
  if (!own || !update) throw new Error('no gateway');
  const feed = new WorkspaceDemandFeed('gateway-0');
  const encoder = new UpdateEncoder();
  const applied = makeReports(own, 'gateway-0');
  let now = 0;
  const rows: readonly (readonly [string, number])[] = [
    [
      'gateway: count one request',
      timeEach(10_000, at => {
        own.noteOffered(POOL, `workspace-${at % 60}`, REQUEST_MS, 999);
      }),
    ],
    ['gateway: measure and compute', timeEach(200, () => own.takeDemand(999))],
    [
      'gateway: decode a digest and compute',
      timeEach(200, () => {
        const {readings} = v1.ControlUpdate.decode(update);
        if (readings) applied.apply(readings, 999);
      }),
    ],
    [
      'member: decode and add a report',
      timeEach(GATEWAYS, at => {
        const report = v1.ReadingReport.decode(reports[at] ?? update);
        member.demand.record(readReadings(report), 0);
      }),
    ],
    [
      'member: select and encode for a gateway',
      timeEach(200, () => {
        now += 500;
        const demand = feed.next(member.demand, now);
        encoder.encode({kind: 'readings', reports: [], demand});
      }),
    ],
  ];
  return {
    title: 'Processor time of the exchange of demand',
    columns: ['step', 'µs'],
    rows,
    notes: [`last of ${ROUNDS} rounds`],
  };
}

function measureMemory({reports, memberBytes}: Fleet): MeasureSection {
  const log = measureHeap(() => {
    const made = new RouterReports();
    for (let at = 0; at < LOGGED_REPORTS; at += 1) {
      const bytes = reports[at % GATEWAYS] ?? new Uint8Array();
      made.readings.add(readReadings(v1.ReadingReport.decode(bytes)));
    }
    return made;
  });
  const gateway = measureHeap(() => {
    const shares = new GatewayShares();
    for (let at = 0; at < WORKSPACES; at += 1) {
      shares.noteOffered(POOL, `workspace-${at}`, REQUEST_MS, 999);
      shares.noteSent(POOL, `workspace-${at}`, REQUEST_MS, 999);
    }
    return shares;
  });
  return {
    title: 'Memory of the exchange of demand, for one congested pool',
    columns: ['owner', 'KiB'],
    rows: [
      ['gateway, all workspaces active', Math.round(gateway.bytes / 1_024)],
      ['member, sums of all gateways', Math.round(memberBytes / 1_024)],
      [
        `member, log of ${LOGGED_REPORTS} reports`,
        Math.round(log.bytes / 1_024),
      ],
    ],
    notes: ['after a full garbage collection'],
  };
}

/** @returns bytes, times and memory at the design size */
export function measureWorkspaceShares(): Promise<MeasureSection[]> {
  const fleet = exchangeOnce();
  return Promise.resolve([
    measureBytes(fleet),
    measureCosts(fleet),
    measureMemory(fleet),
  ]);
}
