import {type Configuration, EMPTY_CONFIGURATION} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {describe, expect, it} from 'vitest';
import {
  type ReadingReport,
  ReadingReportLog,
} from '../../reading_report_log.js';
import {RouterReports} from '../../router_reports.js';
import {RunningRequestTotals} from '../../running_request_totals.js';
import {StreamPeerTable} from '../../stream_peer_table.js';
import {
  type FeedUpdate,
  type FeedView,
  SubscriptionFeed,
} from '../../subscription_feed.js';
import {toWireDigest, UpdateEncoder} from '../../update_encoder.js';
import {readReadings} from '../../wire_utils.js';
import {WorkspaceDemandTotals} from '../../workspace_demand_totals.js';

const SETTINGS = {digestIntervalMs: 1_000, heartbeatIntervalMs: 1_000};

function reportOf(node: string, streamAddress?: string): ReadingReport {
  const report = {node, readings: [], running: []};
  return streamAddress === undefined ? report : {...report, streamAddress};
}

function feedOf(role: string): SubscriptionFeed {
  const subscriber = {node: 'g0', role, pool: '', revision: 0};
  return new SubscriptionFeed({...subscriber, takesDeltas: false}, SETTINGS);
}

function viewOf(table: StreamPeerTable): FeedView {
  const configuration: Configuration = {
    revision: 0,
    content: EMPTY_CONFIGURATION.content,
  };
  return {
    leads: true,
    configuration,
    contentOf: () => undefined,
    membershipVersion: 0,
    readings: new ReadingReportLog(),
    running: new RunningRequestTotals(),
    demand: new WorkspaceDemandTotals(),
    streamPeers: table.addresses,
    crashesVersion: 0,
    suspects: () => [],
    controlMembers: [],
    changesSince: () => undefined,
    readLoad: () => undefined,
  };
}

function peersSent(
  feed: SubscriptionFeed,
  table: StreamPeerTable,
  now: number,
): readonly FeedUpdate[] {
  const updates = feed.next(viewOf(table), 0, now);
  return updates.filter(({kind}) => kind === 'streamPeers');
}

describe('the gateways that keep records of streams', () => {
  it('are those with a recent report', () => {
    const table = new StreamPeerTable();
    table.record(reportOf('g1', '10.0.0.1:7'), 0);
    table.record(reportOf('g2', '10.0.0.2:7'), 5_000);
    table.record(reportOf('g3'), 5_000);
    table.expire(9_000);
    expect([...table.addresses.keys()]).toEqual(['g1', 'g2']);
    table.expire(9_001);
    expect([...table.addresses]).toEqual([['g2', '10.0.0.2:7']]);
  });

  it('without a name or with an endless address are not listed', () => {
    const table = new StreamPeerTable();
    table.record(reportOf('', '10.0.0.1:7'), 0);
    table.record(reportOf('g1', '1'.repeat(65)), 0);
    expect(table.addresses.size).toBe(0);
  });

  it('are told whole at first, and then as changes', () => {
    const table = new StreamPeerTable();
    const feed = feedOf('router');
    expect(peersSent(feed, table, 0)).toEqual([]);
    table.record(reportOf('g1', '10.0.0.1:7'), 0);
    table.record(reportOf('g2', '10.0.0.2:7'), 0);
    const g1 = ['g1', '10.0.0.1:7'];
    const g2 = ['g2', '10.0.0.2:7'];
    expect(peersSent(feed, table, 1)).toEqual([
      {kind: 'streamPeers', whole: true, peers: [g1, g2], gone: []},
    ]);
    table.record(reportOf('g1', '10.0.0.1:7'), 2);
    expect(peersSent(feed, table, 2)).toEqual([]);
    table.record(reportOf('g2', '10.0.0.9:7'), 9_001);
    table.expire(9_003);
    expect(peersSent(feed, table, 9_003)).toEqual([
      {
        kind: 'streamPeers',
        whole: false,
        peers: [['g2', '10.0.0.9:7']],
        gone: ['g1'],
      },
    ]);
  });

  it('are told to routers only', () => {
    const table = new StreamPeerTable();
    table.record(reportOf('g1', '10.0.0.1:7'), 0);
    for (const role of ['sidecar', 'control']) {
      expect(peersSent(feedOf(role), table, 0)).toEqual([]);
    }
  });

  // A gateway's report reaches only one member; the others get it as followers.
  it('are the same at a follower', () => {
    const leader = new RouterReports();
    leader.add(reportOf('g1', '10.0.0.1:7'), 0);
    const follower = new RouterReports();
    for (const report of toWireDigest(leader.readings.since(0)).reports ?? []) {
      follower.add(readReadings(report), 0);
    }
    expect([...follower.streamPeers.addresses]).toEqual([['g1', '10.0.0.1:7']]);
  });

  it('are encoded with their addresses', () => {
    const update: FeedUpdate = {
      kind: 'streamPeers',
      whole: true,
      peers: [['g1', '10.0.0.1:7']],
      gone: ['g2'],
    };
    const bytes = new UpdateEncoder().encode(update);
    expect(lovagepond.v1.ControlUpdate.decode(bytes)).toMatchObject({
      streamPeers: {
        whole: true,
        peers: [{node: 'g1', address: '10.0.0.1:7'}],
        gone: ['g2'],
      },
    });
  });
});
