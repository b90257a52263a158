/**
 * Decides which backend servers are warming up, and which routers may send
 * requests to them meanwhile.
 *
 * A server crashes when it gets too many requests shortly after its start. The
 * limit holds for the sum of all routers, some of which may have no contact
 * with each other. It is therefore divided among routers that the replicated
 * state names for each start, and all others send nothing.
 */
import {createHash} from 'node:crypto';
import {type WarmUp, type WarmUpLimits} from '@lovagepond/core';
import {type DirectServerRecord} from './direct_server_table.js';
import {type ZoneReturn} from './zone_evacuations.js';

/**
 * The routers are at least this many fewer than the requests of the limit: one
 * that stalls between its decision and the send may exceed its part by one.
 */
const RESERVED_REQUESTS = 2;

/** Bounds the size of a server's entry in the list. */
const MAX_WARM_UP_ROUTERS = 16;

/** What decides whether a server is warming up. */
export interface WarmUpFacts {
  /** The limits of the server's pool; undefined when it has none. */
  readonly limits: WarmUpLimits | undefined;
  /** The last return to service of the server's zone. */
  readonly zoneReturn: ZoneReturn | undefined;
  /** End of the warm-up by the server's last report, monotonic milliseconds. */
  readonly reportedUntil: number | undefined;
  /** Replicated time, milliseconds. */
  readonly timeMs: number;
}

/**
 * A server whose zone returns to service is warming up for the whole duration:
 * a report that says otherwise may have been sent before the return.
 *
 * @param record a server of the replicated table
 * @param facts what decides
 * @param now current time, monotonic milliseconds
 * @returns the routers that may send to it; undefined when it is warm
 */
export function decideWarmUp(
  record: DirectServerRecord,
  {limits, zoneReturn, reportedUntil, timeMs}: WarmUpFacts,
  now: number,
): WarmUp | undefined {
  if (!limits) return undefined;
  const {joinedAtMs, server} = record;
  const isReturned = zoneReturn !== undefined && zoneReturn.atMs >= joinedAtMs;
  const routers = isReturned
    ? zoneReturn.warmUpRouters
    : (server.warmUpRouters ?? []);
  const {durationMs} = limits;
  if (isReturned && timeMs < zoneReturn.atMs + durationMs) return {routers};
  const isWarm =
    reportedUntil === undefined
      ? timeMs >= joinedAtMs + durationMs
      : now >= reportedUntil;
  return isWarm ? undefined : {routers};
}

/**
 * @param known names of all known routers
 * @param key varies the choice, so that servers have different routers
 * @param limits the limits of all pools that the choice is for
 * @returns the routers that may send to servers that are warming up
 */
export function chooseWarmUpRouters(
  known: readonly string[],
  key: string,
  limits: readonly WarmUpLimits[],
): readonly string[] {
  const shares = limits.map(
    ({maxRequestsPerSecond}) => maxRequestsPerSecond - RESERVED_REQUESTS,
  );
  const count = Math.max(0, Math.min(MAX_WARM_UP_ROUTERS, ...shares));
  const ranks = known.map(name => ({name, rank: rankOf(key, name)}));
  ranks.sort((a, b) => (a.rank < b.rank ? -1 : 1));
  return ranks.slice(0, count).map(({name}) => name);
}

function rankOf(key: string, name: string): string {
  return createHash('sha1').update(`${key}\u0000${name}`).digest('hex');
}
