import {lovagepond} from '@lovagepond/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type PoolDemand, type ReadingReport} from '../../reading_report_log.js';
import {RouterReports} from '../../router_reports.js';
import {UpdateEncoder} from '../../update_encoder.js';
import {readReadings} from '../../wire_utils.js';
import {
  type OthersDemand,
  WorkspaceDemandFeed,
} from '../../workspace_demand_feed.js';
import {WorkspaceDemandTotals} from '../../workspace_demand_totals.js';

const {v1} = lovagepond;

function poolOf(
  offered: Record<string, number>,
  rest: Partial<PoolDemand> = {},
): PoolDemand {
  const workspaces = Object.entries(offered).map(([workspace, one]) => ({
    workspace,
    offered: one,
  }));
  return {pool: 'p', served: 0, ...rest, workspaces};
}

function reportOf(node: string, ...demand: PoolDemand[]): ReadingReport {
  return {node, readings: [], running: [], demand};
}

function offeredOf(demand: OthersDemand | undefined): Record<string, number> {
  const entries = (demand?.workspaces ?? []).map(
    ({workspace, offered}) => [workspace, offered] as const,
  );
  return Object.fromEntries(entries);
}

describe('WorkspaceDemandFeed', () => {
  it('sends the sums of all other routers', () => {
    const report = fc.record({
      router: fc.nat(4),
      workspaces: fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.nat(99)),
      served: fc.nat(99),
    });
    fc.assert(
      fc.property(fc.array(report, {maxLength: 40}), reports => {
        const totals = new WorkspaceDemandTotals();
        const latest = new Map<string, (typeof reports)[number]>();
        for (const one of reports) {
          const {router, workspaces, served} = one;
          totals.record(
            reportOf(`r${router}`, poolOf(workspaces, {served})),
            0,
          );
          latest.set(`r${router}`, one);
        }
        for (const node of latest.keys()) {
          const others = [...latest]
            .filter(([name]) => name !== node)
            .map(([, one]) => one);
          const [sent] = new WorkspaceDemandFeed(node).next(totals, 0);
          expect(sent?.routers).toBe(others.length);
          const served = others.reduce((sum, one) => sum + one.served, 0);
          expect(sent?.served).toBe(served);
          for (const name of ['a', 'b', 'c']) {
            const sum = others.reduce(
              (all, one) => all + (one.workspaces[name] ?? 0),
              0,
            );
            expect(offeredOf(sent)[name] ?? 0).toBe(sum);
          }
        }
      }),
    );
  });

  // A killed gateway can't withdraw its demand. Its callers reconnect to other
  // gateways, where they would count a second time.
  it('expires the demand of a router that stopped', () => {
    const totals = new WorkspaceDemandTotals();
    const feed = new WorkspaceDemandFeed('b');
    totals.record(reportOf('a', poolOf({w: 70}, {served: 9})), 0);
    totals.record(reportOf('b', poolOf({w: 1})), 2_900);
    totals.expireReports(3_000);
    expect(offeredOf(feed.next(totals, 3_000)[0])).toEqual({w: 70});
    totals.expireReports(3_001);
    const [sent] = feed.next(totals, 3_500);
    expect(sent).toMatchObject({served: 0, routers: 0, workspaces: []});
    totals.expireReports(6_000);
    expect(feed.next(totals, 6_000)).toEqual([]);
  });

  it('sends each 500 ms, and only pools that the router reports', () => {
    const totals = new WorkspaceDemandTotals();
    const other = poolOf({w: 2}, {pool: 'q'});
    totals.record(reportOf('a', poolOf({w: 1}), other), 0);
    const feed = new WorkspaceDemandFeed('b');
    expect(feed.next(totals, 0)).toEqual([]);
    totals.record(reportOf('b', other), 10);
    expect(feed.next(totals, 20)).toMatchObject([{pool: 'q', routers: 1}]);
    expect(feed.next(totals, 519)).toEqual([]);
    expect(feed.next(totals, 520)).toHaveLength(1);
  });

  // The bytes that a gateway receives must not grow with the number of
  // workspaces, and the level must not be computed from the listed ones alone.
  it('lists 32 workspaces, and the sum of the others', () => {
    const totals = new WorkspaceDemandTotals();
    const all = Array.from(
      {length: 100},
      (_, at) => [`w${at}`, at + 1] as const,
    );
    totals.record(reportOf('a', poolOf(Object.fromEntries(all))), 0);
    totals.record(reportOf('c', poolOf({w99: 5})), 0);
    totals.record(reportOf('b', poolOf({w99: 900})), 0);
    const [sent] = new WorkspaceDemandFeed('b').next(totals, 0);
    const listed = offeredOf(sent);
    expect(Object.keys(listed)).toHaveLength(24);
    expect(listed['w99']).toBe(105);
    const sum = Object.values(listed).reduce((a, b) => a + b, 0);
    expect(sum + (sent?.unlisted ?? 0)).toBe(5_050 + 5);
    expect(sent?.unlistedWorkspaces).toBe(76);
  });

  // The page limits what a gateway receives to some 2 KB/s.
  it('lists fewer workspaces of each pool when there are several', () => {
    const offered = Object.fromEntries(
      Array.from({length: 480}, (_, at) => [`workspace-${at}`, 9_000 - at]),
    );
    const bytesFor = (count: number): number => {
      const totals = new WorkspaceDemandTotals();
      const demand = Array.from({length: count}, (_, at) =>
        poolOf(offered, {pool: `text-generation-${at}`, served: 600_000}),
      );
      for (const node of ['a', 'b', 'c']) {
        totals.record(reportOf(node, ...demand), 0);
      }
      const sent = new WorkspaceDemandFeed('a').next(totals, 0);
      expect(sent).toHaveLength(count);
      for (const {workspaces} of sent) {
        expect(workspaces.length).toBeGreaterThanOrEqual(8);
      }
      const update = {kind: 'readings', reports: [], demand: sent} as const;
      return new UpdateEncoder().encode(update).length;
    };
    for (const count of [1, 2, 3, 4]) {
      expect(2 * bytesFor(count)).toBeLessThan(2_400);
    }
  });

  // A gateway's own workspaces may be small elsewhere, or exist nowhere else.
  it('lists the own workspaces of a router in turn, large ones often', () => {
    const totals = new WorkspaceDemandTotals();
    const all = Array.from(
      {length: 100},
      (_, at) => [`w${at}`, at + 1] as const,
    );
    totals.record(reportOf('a', poolOf(Object.fromEntries(all))), 0);
    const own = Array.from({length: 20}, (_, at) => [`w${at}`, 9] as const);
    const names = Object.fromEntries([...own, ['mine', 200], ['w98', 9]]);
    totals.record(reportOf('b', poolOf(names)), 0);
    const feed = new WorkspaceDemandFeed('b');
    const known: Record<string, number> = {};
    for (let now = 0; now < 1_500; now += 500) {
      const [sent] = feed.next(totals, now);
      expect(offeredOf(sent)).toMatchObject({mine: 0});
      expect(sent?.workspaces.length).toBeLessThanOrEqual(32);
      Object.assign(known, offeredOf(sent));
    }
    expect(known).toMatchObject({w0: 1, w19: 20, mine: 0, w98: 99});
  });

  // One faulty gateway must not hide the demand of all others.
  // Without demand elsewhere, an own workspace isn't one of those that make up the
  // unlisted work; the mean of these would be too large.
  it('counts own workspaces without other demand apart', () => {
    const totals = new WorkspaceDemandTotals();
    const large = Array.from({length: 40}, (_, at) => [`x${at}`, 9] as const);
    const own = Array.from({length: 8}, (_, at) => [`own${at}`, 1] as const);
    totals.record(reportOf('a', poolOf(Object.fromEntries(large))), 0);
    totals.record(reportOf('b', poolOf(Object.fromEntries(own))), 0);
    const [sent] = new WorkspaceDemandFeed('b').next(totals, 0);
    expect(sent?.workspaces).toHaveLength(32);
    expect(sent).toMatchObject({unlisted: 16 * 9, unlistedWorkspaces: 16});
  });

  // The time without reports counted as updates that hadn't listed the
  // workspaces of the last report, which were then preferred to all others.
  it('forgets what it listed when the router stops reporting', () => {
    const totals = new WorkspaceDemandTotals();
    const feed = new WorkspaceDemandFeed('b');
    const large = Array.from({length: 40}, (_, at) => [`x${at}`, 99] as const);
    const others = poolOf(Object.fromEntries(large));
    const names = Array.from({length: 16}, (_, at) => `own${at}`);
    const report = (
      order: readonly string[],
      now: number,
    ): readonly string[] => {
      const own = order.map(name => [name, 1] as const);
      totals.record(reportOf('a', others), now);
      totals.record(reportOf('b', poolOf(Object.fromEntries(own))), now);
      const listed = Object.keys(offeredOf(feed.next(totals, now)[0]));
      return listed.filter(name => name.startsWith('own'));
    };
    expect(report(names, 0)).toEqual(names.slice(0, 8));
    for (let now = 4_000; now < 10_000; now += 100) {
      totals.expireReports(now);
      expect(feed.next(totals, now)).toEqual([]);
    }
    const reverse = names.toReversed();
    expect(report(reverse, 10_000)).toEqual(reverse.slice(0, 8));
  });

  it('ignores implausible values', () => {
    const bad = [-1, NaN, Infinity, 2 ** 32, 4_294_967_295];
    for (const value of bad) {
      const totals = new WorkspaceDemandTotals();
      const demand = poolOf({w: value, x: 3}, {served: value});
      totals.record(reportOf('a', demand), 0);
      totals.record(reportOf('b', poolOf({})), 0);
      const [sent] = new WorkspaceDemandFeed('b').next(totals, 0);
      expect(offeredOf(sent)).toEqual({x: 3});
      expect(sent).toMatchObject({served: 0, unlisted: 0});
    }
  });

  it('keeps a sum that exceeds the range of the message at its limit', () => {
    const totals = new WorkspaceDemandTotals();
    for (let at = 0; at < 50; at += 1) {
      totals.record(reportOf(`r${at}`, poolOf({w: 1e8}, {served: 1e8})), 0);
    }
    const [sent] = new WorkspaceDemandFeed('r0').next(totals, 0);
    expect(offeredOf(sent)).toEqual({w: 2 ** 32 - 1});
    expect(sent?.served).toBe(2 ** 32 - 1);
  });
});

describe('RouterReports', () => {
  // Reports reach the leader, which sends each one to its followers. Routers at
  // any member must get the same sums.
  it('gives a follower the same sums as the leader', () => {
    const [leader, follower] = [new RouterReports(), new RouterReports()];
    const encoder = new UpdateEncoder();
    let sequence = 0;
    for (let at = 0; at < 20; at += 1) {
      const demand = poolOf({w: at, [`x${at}`]: 7}, {served: 3});
      leader.add(reportOf(`r${at % 5}`, demand), at);
      const reports = leader.readings.since(sequence);
      sequence = leader.readings.sequence;
      const bytes = encoder.encode({kind: 'readings', reports});
      const {readings} = v1.ControlUpdate.decode(bytes);
      for (const one of readings?.reports ?? []) {
        follower.add(readReadings(one), at);
      }
    }
    const sentBy = (member: RouterReports): readonly OthersDemand[] =>
      new WorkspaceDemandFeed('r0').next(member.demand, 20);
    expect(sentBy(follower)).toEqual(sentBy(leader));
    expect(sentBy(leader)).toMatchObject([{served: 12, routers: 4}]);
  });

  // A new leader after a stop of all members has no sums and gets no old ones.
  it('has the sums after one report of each router', () => {
    const member = new RouterReports();
    for (const node of ['a', 'b', 'c']) {
      member.add(reportOf(node, poolOf({w: 10}, {served: 4})), 0);
    }
    const [sent] = new WorkspaceDemandFeed('b').next(member.demand, 0);
    expect(sent).toMatchObject({served: 8, routers: 2});
    expect(offeredOf(sent)).toEqual({w: 20});
  });

  // Each router gets the sums; all reports would be 370 times as many bytes.
  it('does not forward the demand of single routers to routers', () => {
    const {readings} = new RouterReports();
    const prompts = [{backendServer: 's', prefix: '/a', tokens: 9}];
    readings.add({...reportOf('a', poolOf({w: 1})), readings: prompts});
    expect(readings.readingsSince(0)).toEqual([
      {node: 'a', readings: prompts, running: []},
    ]);
    expect(readings.since(0)).toMatchObject([{demand: [{pool: 'p'}]}]);
  });
});
