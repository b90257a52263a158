import {type ConfigurationContent, EMPTY_CONFIGURATION} from '@lovagepond/core';
import {type DemandSums} from '@lovagepond/load';
import {describe, expect, it} from 'vitest';
import {type DemandSource, type OwnDemand} from '../../gateway_demand.js';
import {samplePhase} from '../../gateway_demand_sample.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {GatewayShares} from '../../gateway_shares.js';

const WORKSPACE = {priority: 5, maxQueuedTokens: 0};

function contentOf(
  pools: readonly string[],
  weights: Record<string, number>,
): ConfigurationContent {
  return {
    ...EMPTY_CONFIGURATION.content,
    pools: pools.map(
      name => ({name, admission: {}}) as ConfigurationContent['pools'][number],
    ),
    workspaces: Object.entries(weights).map(([name, weight]) => ({
      ...WORKSPACE,
      name,
      weight,
    })),
  };
}

function sumsOf(offered: Record<string, number>): DemandSums {
  return {
    servedMsPerS: 900,
    gateways: 3,
    offered: new Map(Object.entries(offered)),
    unlistedMsPerS: 0,
    unlistedWorkspaces: 0,
  };
}

function reportsOf(demand?: DemandSource): GatewayLoadReports {
  return new GatewayLoadReports(
    'here',
    new GatewayFleet(),
    new PrefillRate(40),
    demand,
  );
}

/** A pool in which `a` offers 800 and `b` 100 ms per s, of which 300 are sent. */
function makeBusy(): GatewayShares {
  const shares = new GatewayShares();
  for (let now = 0; now < 1_000; now += 100) {
    shares.noteOffered('p', 'a', 80, now);
    shares.noteOffered('p', 'b', 10, now);
    shares.noteSent('p', 'a', 20, now);
    shares.noteSent('p', 'b', 10, now);
  }
  return shares;
}

describe('GatewayShares', () => {
  // Without congestion nothing may be sent, and requests are placed as before.
  it('reports a pool only while it is congested', () => {
    const shares = makeBusy();
    expect(shares.takeDemand(999)).toEqual([]);
    shares.setCongested('p', true, 999);
    const [demand] = shares.takeDemand(999);
    expect(demand?.pool).toBe('p');
    expect(demand?.servedMsPerS).toBeCloseTo(300, -1);
    expect(demand?.offered.get('a')).toBeCloseTo(800, -1);
    shares.applyDemand(new Map([['p', sumsOf({a: 10, c: 9_000})]]), 999);
    expect(shares.weightsOf('p')?.gatewayWeight).toBeGreaterThan(1);
    shares.setCongested('p', false, 1_000);
    expect(shares.takeDemand(1_000)).toEqual([]);
    expect(shares.weightsOf('p')?.gatewayWeight).toBe(1);
    expect(shares.weightsOf('p')?.weightOf('a')).toBe(1);
  });

  // A digest that was sent before the end of the congestion arrives after it.
  it('ignores sums of pools that are not congested or not known', () => {
    const shares = makeBusy();
    const sums = new Map([
      ['p', sumsOf({a: 10})],
      ['q', sumsOf({a: 10})],
    ]);
    shares.applyDemand(sums, 999);
    expect(shares.weightsOf('p')?.weightOf('a')).toBe(1);
    expect(shares.weightsOf('q')).toBeUndefined();
  });

  it('uses the weights of the configuration in force', () => {
    const shares = makeBusy();
    shares.useWorkspaces(contentOf(['p'], {a: 4}));
    expect(shares.weightsOf('p')?.weightOf('a')).toBe(4);
    shares.noteOffered('q', 'a', 1, 0);
    expect(shares.weightsOf('q')?.weightOf('a')).toBe(4);
    shares.useWorkspaces(contentOf(['q'], {a: 2}));
    expect(shares.weightsOf('p')).toBeUndefined();
    expect(shares.weightsOf('q')?.weightOf('a')).toBe(2);
  });

  it('shows operators the level and the largest workspaces', () => {
    const shares = makeBusy();
    shares.setCongested('p', true, 999);
    shares.applyDemand(new Map([['p', sumsOf({a: 400, b: 1_100})]]), 999);
    const [view] = shares.describe(999);
    expect(view).toMatchObject({
      pool: 'p',
      congested: true,
      shared: true,
      gateways: 4,
      capacityMsPerS: 1_200,
      levelMsPerS: 600,
      workspaces: [
        {workspace: 'a', offeredMsPerS: 1_201, ownShareMsPerS: 400},
        {workspace: 'b', offeredMsPerS: 1_200, ownSentMsPerS: 100},
      ],
    });
    expect(shares.describe(5_000)).toMatchObject([{shared: false}]);
  });
});

describe('GatewayLoadReports', () => {
  it('reports demand each 500 ms, and nothing without a source', () => {
    const shares = makeBusy();
    const reports = reportsOf(shares);
    expect(reports.takeReport(900)).toBeUndefined();
    shares.setCongested('p', true, 999);
    expect(reports.takeReport(1_399)).toBeUndefined();
    expect(reports.takeReport(1_400)).toMatchObject({
      running: [],
      demand: [{pool: 'p', workspaces: [{workspace: 'a'}, {workspace: 'b'}]}],
    });
    expect(reports.takeReport(1_899)).toBeUndefined();
    expect(reports.takeReport(1_900)?.demand).toHaveLength(1);
    const without = reportsOf();
    expect(without.takeReport(1_400)).toBeUndefined();
    without.apply({demand: [{pool: 'p', served: 9}]}, 1_400);
  });

  // The encoder truncates numbers to 32 bits: 2^32 would arrive as 0 and -1 as
  // the largest number.
  it('leaves out values that the message can not have', () => {
    const offered = new Map([
      ['negative', -1],
      ['none', NaN],
      ['endless', Infinity],
      ['large', 2 ** 32],
      ['good', 6.6],
      ['tiny', 0.2],
    ]);
    const demand: OwnDemand = {pool: 'p', servedMsPerS: -5, offered};
    const source = {takeDemand: () => [demand], applyDemand: () => {}};
    expect(reportsOf(source).takeReport(0)?.demand).toEqual([
      {
        pool: 'p',
        served: 0,
        workspaces: [{workspace: 'good', offered: 7}],
      },
    ]);
  });

  // Members of control read the reports of all gateways. A workspace that is
  // small at each of them must count in full, or it would get less weight than
  // others by the part that is missing.
  it('lists 64 of many workspaces, with the right mean of each one', () => {
    const offered = new Map<string, number>(
      Array.from({length: 300}, (_, at) => [`w${at}`, 5 + at / 30] as const),
    );
    offered.set('large', 700);
    const demand = {pool: 'p', servedMsPerS: 1, offered};
    const source = {takeDemand: () => [demand], applyDemand: () => {}};
    const reports = reportsOf(source);
    const sums = new Map<string, number>();
    const rounds = 400;
    for (let round = 0; round < rounds; round += 1) {
      const [sent] = reports.takeReport(round * 500)?.demand ?? [];
      expect(sent?.workspaces?.length).toBeLessThanOrEqual(64);
      for (const one of sent?.workspaces ?? []) {
        const name = one.workspace ?? '';
        sums.set(name, (sums.get(name) ?? 0) + (one.offered ?? 0));
      }
    }
    for (const [workspace, msPerS] of offered) {
      const mean = (sums.get(workspace) ?? 0) / rounds;
      expect(Math.abs(mean / msPerS - 1)).toBeLessThan(0.1);
    }
  });

  it('does not sample at all gateways in the same phase', () => {
    const phases = Array.from({length: 370}, (_, at) =>
      samplePhase(`gateway-${at}`, 1),
    );
    for (const part of [0, 1, 2, 3]) {
      const count = phases.filter(one => Math.floor(one * 4) === part).length;
      expect(count).toBeGreaterThan(370 / 8);
    }
  });

  it('hands a digest with demand to the source', () => {
    const applied: unknown[] = [];
    const reports = reportsOf({
      takeDemand: () => [],
      applyDemand: (sums, now) => applied.push([...sums], now),
    });
    reports.apply({reports: [], routers: 2}, 5);
    expect(applied).toEqual([]);
    const workspaces = [{workspace: 'w', offered: 3}];
    reports.apply({demand: [{pool: 'p', routers: 2, workspaces}]}, 6);
    expect(applied).toEqual([
      [
        [
          'p',
          {
            servedMsPerS: 0,
            gateways: 2,
            offered: new Map([['w', 3]]),
            unlistedMsPerS: 0,
            unlistedWorkspaces: 0,
          },
        ],
      ],
      6,
    ]);
  });
});
