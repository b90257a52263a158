/**
 * Decides which backend servers are warming up, and which routers may send
 * requests to them meanwhile.
 *
 * A server crashes when it gets too many requests shortly after its start. The
 * limit holds for the sum of all routers, some of which may have no contact
 * with each other. It is therefore divided among routers that the replicated
 * state names for each server, and all others ask these for permits.
 */
import {createHash} from 'node:crypto';
import {type WarmUp, type WarmUpLimits} from '@lovagepond/core';
import {
  type DirectServerRecord,
  type JoiningServer,
} from './direct_server_table.js';
import {type ZoneReturn} from './zone_evacuations.js';

/**
 * Routers that issue the permits of one server. With few of them each has a part
 * that it can lend to all others; without one of three, two thirds are left.
 */
const MAX_WARM_UP_ROUTERS = 3;

/** Routers among which those of a returned zone's servers are chosen. */
const MAX_ZONE_ROUTERS = 16;

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
  const lastReturn =
    zoneReturn && zoneReturn.atMs >= joinedAtMs ? zoneReturn : undefined;
  const {durationMs} = limits;
  const hasJustReturned =
    lastReturn !== undefined && timeMs < lastReturn.atMs + durationMs;
  const isWarm =
    reportedUntil === undefined
      ? timeMs >= joinedAtMs + durationMs
      : now >= reportedUntil;
  if (isWarm && !hasJustReturned) return undefined;
  const routers = routersOf(server, lastReturn, limits);
  return {routers: routers.slice(0, limits.maxRequestsPerSecond)};
}

/**
 * A server keeps its routers for good: those that hold an old list, and others
 * that were named later, would add up to more than the limit.
 */
function routersOf(
  {name, warmUpRouters = []}: JoiningServer,
  lastReturn: ZoneReturn | undefined,
  limits: WarmUpLimits,
): readonly string[] {
  if (warmUpRouters.length > 0 || !lastReturn) return warmUpRouters;
  return chooseWarmUpRouters(lastReturn.warmUpRouters, name, limits);
}

/**
 * @param known names of all known routers
 * @param server a server's name, so that servers have different routers
 * @param limits the limits of its pool, if they are known
 * @returns the routers that issue the server's permits while it is warming up
 */
export function chooseWarmUpRouters(
  known: readonly string[],
  server: string,
  limits?: WarmUpLimits,
): readonly string[] {
  const most = limits?.maxRequestsPerSecond ?? MAX_WARM_UP_ROUTERS;
  return rank(known, server, Math.min(MAX_WARM_UP_ROUTERS, most));
}

/**
 * @param known names of all known routers
 * @param zone an availability zone that returns to service
 * @returns the routers that those of the zone's servers are chosen from
 */
export function chooseZoneRouters(
  known: readonly string[],
  zone: string,
): readonly string[] {
  return rank(known, zone, MAX_ZONE_ROUTERS);
}

/** @returns the first names in the rendezvous order of the key */
function rank(
  names: readonly string[],
  key: string,
  count: number,
): readonly string[] {
  const ranks = names.map(name => ({name, rank: rankOf(key, name)}));
  ranks.sort((a, b) => (a.rank < b.rank ? -1 : 1));
  return ranks.slice(0, count).map(({name}) => name);
}

function rankOf(key: string, name: string): string {
  return createHash('sha1').update(`${key}\u0000${name}`).digest('hex');
}
