/**
 * Decides whether a stream whose first server is unknown can be resumed.
 *
 * A gateway remembers the servers of its own lifetime, and all gateways may have
 * restarted since the stream began. Control remembers in its log which versions
 * served a pool. If only one did while the stream can have begun, every server of
 * that version can continue it.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {normalizeHost} from './gateway_routes.js';
import {type StreamOrigin} from './gateway_stream_origin.js';

type WireHistory = lovagepond.v1.StreamHistoryResponse.$Properties;

/** A request that resumes a stream. */
export interface ResumingRequest {
  /** The pools that its selector sends requests to. */
  readonly pools: readonly string[];
  /** Host that its selector matches. */
  readonly host: string;
  /** Its path, including the query. */
  readonly path: string;
  /** The longest time since the stream began, milliseconds. */
  readonly maxAgeMs: number;
}

/** Why a stream can't be resumed without knowing where it began. */
export const HISTORY_REFUSAL = {
  /** Control hasn't confirmed its history in time. */
  UNCONFIRMED: 'unconfirmed',
  /** The stream may be older than the history. */
  INCOMPLETE: 'incomplete',
  /** The request is sent to one of several pools. */
  SEVERAL_POOLS: 'severalPools',
  /** The request may have been sent to another pool before. */
  SELECTOR_CHANGED: 'selectorChanged',
  SEVERAL_VERSIONS: 'severalVersions',
  NO_VERSION: 'noVersion',
} as const;

export type HistoryRefusal =
  (typeof HISTORY_REFUSAL)[keyof typeof HISTORY_REFUSAL];

/** The servers that can continue the stream, or why they are unknown. */
export type HistoryVerdict =
  | {readonly origin: StreamOrigin; readonly refusal?: never}
  | {readonly refusal: HistoryRefusal; readonly origin?: never};

/**
 * @param history what was in service lately, as of a time after the request
 *     arrived; undefined if control did not confirm it
 * @param req the request
 * @returns the servers that can continue its stream
 */
export function findOnlyOrigin(
  history: WireHistory | undefined,
  req: ResumingRequest,
): HistoryVerdict {
  if (!history?.confirmed) return {refusal: HISTORY_REFUSAL.UNCONFIRMED};
  const {maxAgeMs} = req;
  if ((history.completeForMs ?? 0) < maxAgeMs) {
    return {refusal: HISTORY_REFUSAL.INCOMPLETE};
  }
  const [pool, ...otherPools] = req.pools;
  if (pool === undefined || otherPools.length > 0) {
    return {refusal: HISTORY_REFUSAL.SEVERAL_POOLS};
  }
  const isChanged = (history.changes ?? []).some(
    ({host, pathPrefix, ageMs}) =>
      (ageMs ?? 0) <= maxAgeMs &&
      normalizeHost(host ?? '') === normalizeHost(req.host) &&
      req.path.startsWith(pathPrefix ?? ''),
  );
  if (isChanged) return {refusal: HISTORY_REFUSAL.SELECTOR_CHANGED};
  const versions = (history.versions ?? [])
    .filter(one => one.pool === pool && (one.goneForMs ?? 0) <= maxAgeMs)
    .map(one => one.version ?? '');
  const [version, ...otherVersions] = versions;
  if (version === undefined) return {refusal: HISTORY_REFUSAL.NO_VERSION};
  return otherVersions.length > 0
    ? {refusal: HISTORY_REFUSAL.SEVERAL_VERSIONS}
    : {origin: {pool, version}};
}
