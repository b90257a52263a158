/**
 * Decides where a request runs that resumes a stream of an earlier request.
 */
import {type ErrorKind, type Logger} from '@lovagepond/core';
import {describeResumption} from './gateway_exchange_log.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type GatewayFleet} from './gateway_fleet.js';
import {keepSecondsOf} from './gateway_stream_directory.js';
import {
  findOnlyOrigin,
  HISTORY_REFUSAL,
  type HistoryVerdict,
} from './gateway_stream_history.js';
import {type StreamOrigin} from './gateway_stream_origin.js';
import {type GatewayStreams} from './gateway_streams.js';

/** The request, bound to the stream's servers, or why it can't be run. */
export type ResumptionVerdict =
  | {readonly ok: true; readonly req: AdmittedRequest}
  | {readonly ok: false; readonly error: ErrorKind};

/**
 * @param req a request
 * @returns true if a server would continue an earlier stream with it
 */
export function resumesStream({facts, rule}: AdmittedRequest): boolean {
  return facts.resumption !== undefined && rule.forwarding.streaming;
}

/**
 * The pool may differ from the one that was drawn for the request, as a selector
 * may split its requests between pools.
 *
 * @param req a request that resumes a stream
 * @param origin the servers that can continue the stream, if they are known
 * @returns the request for these servers, if its selector still allows them
 */
export function bindToOrigin(
  req: AdmittedRequest,
  origin: StreamOrigin | undefined,
): ResumptionVerdict {
  if (!origin) return {ok: false, error: 'streamUnknown'};
  const pools = req.rule.pools.map(({pool}) => pool);
  const pool = pools.find(({name}) => name === origin.pool);
  if (!pool) return {ok: false, error: 'streamVersionGone'};
  return {ok: true, req: {...req, pool, origin}};
}

interface ResumptionDependencies {
  readonly streams: GatewayStreams;
  readonly fleet: Pick<GatewayFleet, 'hasOtherVersions'>;
  readonly log: Logger;
}

/**
 * @param req a request that resumes a stream
 * @param deps the known streams and servers, and the log
 * @param now current time, monotonic milliseconds
 * @returns the request for the servers that can continue the stream
 */
export async function resumeStream(
  req: AdmittedRequest,
  deps: ResumptionDependencies,
  now: number,
): Promise<ResumptionVerdict> {
  const {streams, log} = deps;
  const {workspace, facts, rule} = req;
  const firstRequestId = facts.resumption?.firstRequestId ?? '';
  const stream = {workspace, firstRequestId};
  const recorded = await streams.find(stream, now);
  const verdict = recorded
    ? {origin: recorded}
    : await findWithoutRecord(req, deps);
  const {origin} = verdict;
  log.info('stream looked up', {
    request: facts.requestId,
    ...(facts.resumption && describeResumption(facts.resumption)),
    isKnown: origin !== undefined,
    hasRecord: recorded !== undefined,
    pool: origin?.pool,
    version: origin?.version,
    refusal: verdict.refusal,
  });
  if (origin && !recorded) streams.noteOnlyVersion();
  // The gateways that keep the record may have restarted since the last try.
  if (origin) streams.record(stream, origin, rule.forwarding.timeoutMs, now);
  return bindToOrigin(req, origin);
}

/**
 * A caller may not name its stream, and all gateways that knew it may have
 * restarted.
 */
async function findWithoutRecord(
  {rule, path}: AdmittedRequest,
  {streams, fleet}: ResumptionDependencies,
): Promise<HistoryVerdict | {readonly refusal: undefined; origin?: never}> {
  const {resumable, timeoutMs} = rule.forwarding;
  if (!resumable) return {refusal: undefined};
  const verdict = findOnlyOrigin(await streams.readHistory(), {
    pools: rule.pools.map(({pool}) => pool.name),
    host: rule.host,
    path,
    maxAgeMs: keepSecondsOf(timeoutMs) * 1_000,
  });
  const {origin} = verdict;
  return origin && fleet.hasOtherVersions(origin)
    ? {refusal: HISTORY_REFUSAL.SEVERAL_VERSIONS}
    : verdict;
}
