/**
 * The state that a member publishes, without servers or reports.
 */
import {EMPTY_CONFIGURATION} from '@lovagepond/core';
import {ReadingReportLog} from '../../reading_report_log.js';
import {RunningRequestTotals} from '../../running_request_totals.js';
import {type FeedView} from '../../subscription_feed.js';
import {WorkspaceDemandTotals} from '../../workspace_demand_totals.js';

/**
 * @param revision the configuration's revision
 * @param servers number of servers in the load report
 */
export function makeView(revision: number, servers = 0): FeedView {
  const loads = new Uint8Array(servers);
  return {
    leads: true,
    configuration: {revision, content: EMPTY_CONFIGURATION.content},
    contentOf: () => undefined,
    membershipVersion: 0,
    readings: new ReadingReportLog(),
    running: new RunningRequestTotals(),
    demand: new WorkspaceDemandTotals(),
    streamPeers: new Map(),
    crashesVersion: 0,
    suspects: () => [],
    controlMembers: [],
    changesSince: () => undefined,
    readLoad: () => ({membershipVersion: 0, loads, ageMs: 0}),
  };
}
