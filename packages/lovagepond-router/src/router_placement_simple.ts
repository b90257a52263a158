/**
 * Policies that know nothing of contexts: they weigh load alone.
 */
import {invariant} from '@lovagepond/core';
import {
  CANDIDATE_COUNT,
  type Placement,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementServer,
} from './router_placement.js';

/**
 * @param servers a list that must not be empty
 * @param index an index into it
 * @returns the server there
 */
export function serverAt<Server>(
  servers: readonly Server[],
  index: number,
): Server {
  const server = servers[index];
  invariant(server !== undefined, 800, 'placement over an empty list');
  return server;
}

/** The servers from an index on, round the end of the list. */
function takeFrom<Server extends PlacementServer>(
  servers: readonly Server[],
  start: number,
): Placement<Server> {
  const count = Math.min(CANDIDATE_COUNT, servers.length);
  const candidates: Server[] = [];
  for (let step = 0; step < count; step++) {
    candidates.push(serverAt(servers, (start + step) % servers.length));
  }
  return {candidates, firstChoice: serverAt(candidates, 0)};
}

/** Each server in turn. */
export class RoundRobinPolicy implements PlacementPolicy {
  #next = 0;

  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    return takeFrom(input.servers.servers, this.#next++);
  }
}

/** The server with the least known load; ties go to the first from a draw. */
export class LeastLoadedPolicy implements PlacementPolicy {
  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    const {servers, slots} = input.servers;
    const start = input.random.below(servers.length);
    let best = start;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (let step = 0; step < servers.length; step++) {
      const index = (start + step) % servers.length;
      const load = input.load.loadOf(slots[index] as number);
      if (load >= bestLoad) continue;
      best = index;
      bestLoad = load;
    }
    return takeFrom(servers, best);
  }
}

/** The less loaded of two servers drawn at random. */
export class TwoChoicesPolicy implements PlacementPolicy {
  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    const {servers} = input.servers;
    const first = input.random.below(servers.length);
    if (servers.length === 1) return takeFrom(servers, first);
    const step = 1 + input.random.below(servers.length - 1);
    const second = (first + step) % servers.length;
    const loadOfFirst = input.load.loadOf(serverAt(servers, first).slot);
    const loadOfSecond = input.load.loadOf(serverAt(servers, second).slot);
    return takeFrom(servers, loadOfFirst <= loadOfSecond ? first : second);
  }
}
