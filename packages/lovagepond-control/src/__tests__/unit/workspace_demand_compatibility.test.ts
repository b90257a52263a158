import {lovagepond} from '@lovagepond/protocol';
import protobuf from 'protobufjs';
import {describe, expect, it} from 'vitest';
import {RouterReports} from '../../router_reports.js';
import {UpdateEncoder} from '../../update_encoder.js';
import {readReadings} from '../../wire_utils.js';
import {WorkspaceDemandFeed} from '../../workspace_demand_feed.js';

const {v1} = lovagepond;

/** The messages as they were before gateways reported their demand. */
const {root: FORMER} = protobuf.parse(`
  syntax = "proto3";
  message PromptReading {
    string backend_server = 1; string prefix = 2; uint32 tokens = 3;
  }
  message RunningRequests {
    string backend_server = 1; uint32 requests = 2;
    uint32 ended = 3; uint32 failed = 4;
  }
  message ReadingReport {
    string node = 1; repeated PromptReading readings = 2;
    repeated RunningRequests running = 3;
  }
  message ReadingDigest {
    repeated ReadingReport reports = 1; uint32 routers = 2;
  }
  message ControlUpdate { oneof kind { ReadingDigest readings = 5; } }
`);
const FormerReport = FORMER.lookupType('ReadingReport');
const FormerUpdate = FORMER.lookupType('ControlUpdate');

const RUNNING = {backendServer: 's', requests: 2, ended: 3, failed: 1};
const DEMAND = {
  pool: 'p',
  served: 9,
  workspaces: [{workspace: 'w', offered: 5}],
};

// Members and gateways are upgraded one by one, in any order.
describe('the demand between two releases', () => {
  it('is ignored by a member of the former release', () => {
    const bytes = v1.ReadingReport.encode({
      node: 'g',
      running: [RUNNING],
      demand: [DEMAND],
    }).finish();
    expect(FormerReport.toObject(FormerReport.decode(bytes))).toEqual({
      node: 'g',
      running: [RUNNING],
    });
  });

  it('is ignored by a gateway or a follower of the former release', () => {
    const running = [{...RUNNING, prefillTokens: 0}];
    const reports = [{node: 'g', readings: [], running, demand: [DEMAND]}];
    const demand = [
      {...DEMAND, routers: 3, unlisted: 1, unlistedWorkspaces: 2},
    ];
    const encoder = new UpdateEncoder();
    const update = {kind: 'readings', reports, routers: 4, demand} as const;
    const decoded = FormerUpdate.decode(encoder.encode(update));
    expect(FormerUpdate.toObject(decoded)).toEqual({
      readings: {reports: [{node: 'g', running: [RUNNING]}], routers: 4},
    });
  });

  it('is absent from reports of a gateway of the former release', () => {
    const bytes = FormerReport.encode({
      node: 'g',
      running: [RUNNING],
    }).finish();
    const report = readReadings(v1.ReadingReport.decode(bytes));
    const member = new RouterReports();
    member.add(report, 0);
    expect(report.demand).toBeUndefined();
    expect(member.running.others('x', 's').requests).toBe(2);
    expect(new WorkspaceDemandFeed('g').next(member.demand, 0)).toEqual([]);
  });

  it('is absent from digests of a member of the former release', () => {
    const bytes = FormerUpdate.encode({
      readings: {reports: [{running: [RUNNING]}], routers: 4},
    }).finish();
    const {readings} = v1.ControlUpdate.decode(bytes);
    expect(readings?.demand ?? []).toEqual([]);
    expect(readings?.routers).toBe(4);
  });
});
