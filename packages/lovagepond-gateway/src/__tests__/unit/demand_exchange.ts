import {
  RouterReports,
  UpdateEncoder,
  type WorkspaceDemandFeed,
  readReadings,
} from '@lovagepond/control/deciders';
import {lovagepond} from '@lovagepond/protocol';
import {type GatewayLoadReports} from '../../gateway_load_reports.js';

const {v1} = lovagepond;

/** A gateway that exchanges its demand. */
export interface ExchangeParty {
  readonly name: string;
  readonly reports: GatewayLoadReports;
  readonly feed: WorkspaceDemandFeed;
}

/** One member of control with its real sums, and encoded messages. */
export class DemandExchange {
  readonly #encoder = new UpdateEncoder();
  readonly #reports = new RouterReports();

  /**
   * Takes the reports that are due, and sends each gateway its digest.
   *
   * @param gateways the running ones
   * @param isReachable false: reports are taken and lost
   * @param now current time, monotonic milliseconds
   */
  run(
    gateways: readonly ExchangeParty[],
    isReachable: boolean,
    now: number,
  ): void {
    for (const {name: node, reports} of gateways) {
      const report = reports.takeReport(now);
      if (!report || !isReachable) continue;
      const bytes = v1.ReadingReport.encode({...report, node}).finish();
      this.#reports.add(readReadings(v1.ReadingReport.decode(bytes)), now);
    }
    this.#reports.expire(now);
    if (!isReachable) return;
    for (const {reports, feed} of gateways) {
      const demand = feed.next(this.#reports.demand, now);
      if (demand.length === 0) continue;
      const update = {kind: 'readings', reports: [], demand} as const;
      const {readings} = v1.ControlUpdate.decode(this.#encoder.encode(update));
      if (readings) reports.apply(readings, now);
    }
  }
}
