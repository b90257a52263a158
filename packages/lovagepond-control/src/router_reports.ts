/**
 * What a member keeps of the routers' reports, for its subscribers.
 */
import {type ReadingReport, ReadingReportLog} from './reading_report_log.js';
import {RunningRequestTotals} from './running_request_totals.js';
import {StreamPeerTable} from './stream_peer_table.js';
import {WorkspaceDemandTotals} from './workspace_demand_totals.js';

/** The log of readings, and the sums over all routers. */
export class RouterReports {
  readonly readings = new ReadingReportLog();
  readonly running = new RunningRequestTotals();
  readonly demand = new WorkspaceDemandTotals();
  readonly streamPeers = new StreamPeerTable();

  /**
   * @param report a report from a router or from the leader
   * @param now monotonic milliseconds
   */
  add(report: ReadingReport, now: number): void {
    this.readings.add(report);
    this.running.record(report, now);
    this.demand.record(report, now);
    this.streamPeers.record(report, now);
  }

  /**
   * Drops from the sums what routers haven't reported recently.
   *
   * @param now monotonic milliseconds
   */
  expire(now: number): void {
    this.running.expireReports(now);
    this.demand.expireReports(now);
    this.streamPeers.expire(now);
  }
}
