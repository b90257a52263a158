/**
 * Converts protocol messages to control's own types.
 */
import {type lovagepond, readMember, readServer} from '@lovagepond/protocol';
import {type MembershipChange} from './membership_log.js';
import {type PoolDemand, type ReadingReport} from './reading_report_log.js';
import {type Announcement} from './membership_record.js';
import {type LoadReport} from './membership_registry.js';
import {type WantedRetries} from './retry_decision.js';
import {type ReportedRequests} from './retry_request_counts.js';

/** Largest value of an unsigned 32-bit field; larger ones would wrap. */
const MAX_UINT32 = 0xffff_ffff;

type WireAnnounce = lovagepond.v1.AnnounceRequest.$Properties;

/**
 * @param req the decoded announcement
 * @returns the announcement
 */
export function readAnnouncement(req: WireAnnounce): Announcement {
  return {
    ...readServer(req),
    runningTokens: req.runningTokens ?? 0,
    queuedTokens: req.queuedTokens ?? 0,
  };
}

/**
 * @param update the decoded membership update
 * @returns the membership change
 */
export function readMembership(
  update: lovagepond.v1.MembershipUpdate.$Properties,
): MembershipChange {
  return {
    version: update.version ?? 0,
    whole: update.whole ?? false,
    wholeDirect: update.wholeDirect ?? false,
    members: (update.members ?? []).map(readMember),
    gone: update.gone ?? [],
  };
}

/**
 * @param report the decoded report of a router
 * @returns the report
 */
export function readReadings(
  report: lovagepond.v1.ReadingReport.$Properties,
): ReadingReport {
  const readings = (report.readings ?? []).map(reading => ({
    backendServer: reading.backendServer ?? '',
    prefix: reading.prefix ?? '',
    tokens: reading.tokens ?? 0,
  }));
  const running = (report.running ?? []).map(one => ({
    backendServer: one.backendServer ?? '',
    requests: one.requests ?? 0,
    ended: one.ended ?? 0,
    failed: one.failed ?? 0,
    prefillTokens: one.prefillTokens ?? 0,
  }));
  const demand = (report.demand ?? []).map(readDemand);
  const {node, streamAddress} = report;
  return {
    node: node ?? '',
    readings,
    running,
    ...(demand.length > 0 && {demand}),
    ...(streamAddress && {streamAddress}),
  };
}

/**
 * @param counts the decoded numbers of a router's requests
 * @returns the numbers
 */
export function readRequestCounts({
  process,
  uptimeMs,
  pools,
}: lovagepond.v1.RequestCounts.$Properties): ReportedRequests {
  return {
    process: process ?? 0,
    uptimeMs: uptimeMs ?? 0,
    pools: (pools ?? []).map(({pool, firstSpan, counts}) => ({
      pool: pool ?? '',
      first: firstSpan ?? 0,
      counts: counts ?? [],
    })),
  };
}

/**
 * @param wanted the decoded retries that a router asks for
 * @returns their number by pool
 */
export function readWantedRetries(
  wanted: lovagepond.v1.RetryRequest.$Properties['wanted'],
): WantedRetries {
  return new Map((wanted ?? []).map(one => [one.pool ?? '', one.count ?? 0]));
}

/**
 * @param value an integer
 * @returns the nearest value that an unsigned 32-bit field can have
 */
export function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, value));
}

function readDemand(demand: lovagepond.v1.PoolDemand.$Properties): PoolDemand {
  const workspaces = (demand.workspaces ?? []).map(one => ({
    workspace: one.workspace ?? '',
    offered: one.offered ?? 0,
  }));
  return {
    pool: demand.pool ?? '',
    served: demand.served ?? 0,
    workspaces,
  };
}

/**
 * @param digest the decoded load digest
 * @returns the load report
 */
export function readLoad(
  digest: lovagepond.v1.LoadDigest.$Properties,
): LoadReport {
  return {
    membershipVersion: digest.membershipVersion ?? 0,
    loads: digest.loads ?? new Uint8Array(),
    ageMs: digest.ageMs ?? 0,
  };
}
