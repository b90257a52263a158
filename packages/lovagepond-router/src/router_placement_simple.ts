/**
 * Placement policies that ignore cached contexts.
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
 * @param servers a list of servers, not empty
 * @param index an index into the list
 * @returns the server at the index
 */
export function serverAt<Server>(
  servers: readonly Server[],
  index: number,
): Server {
  const server = servers[index];
  invariant(server !== undefined, 800, 'placement over an empty list');
  return server;
}

/** Takes candidates from an index on, continuing at the start of the list. */
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

/** Chooses each server in turn. */
export class RoundRobinPolicy implements PlacementPolicy {
  #next = 0;

  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    return takeFrom(input.servers.servers, this.#next++);
  }
}

/** Chooses the least loaded server; the search starts at a random one. */
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

/** Power of two choices: the less loaded of two randomly drawn servers. */
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
