/**
 * Placement policies that use the chat's rendezvous order.
 */
import {
  CANDIDATE_COUNT,
  type Placement,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementServer,
} from './router_placement.js';
import {serverAt} from './router_placement_simple.js';
import {type KeyHasher, makeChatText} from './router_rendezvous_hash.js';

const MS_PER_SECOND = 1000;

/**
 * A server counts as new for this long after it was first listed, in
 * milliseconds. A returning chat may have been served by the next server of its
 * rendezvous order before the new one was listed.
 */
const NEW_SERVER_MS = 3_600_000;

function orderServers<Server extends PlacementServer>(
  hasher: KeyHasher,
  input: PlacementInput<Server>,
): Server[] {
  const {workspace, chat} = input.request;
  const key = hasher.hash(makeChatText(workspace, chat));
  const {servers} = input.servers;
  return input.servers
    .order(key, CANDIDATE_COUNT)
    .map(index => serverAt(servers, index));
}

function loadWith<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  server: Server,
): number {
  return input.load.loadOf(server.slot) + input.request.estimatedTokens;
}

/** True when the request would raise the server's load over the bound. */
function isOverBound<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  server: Server,
): boolean {
  const size = input.servers.servers.length;
  const share = input.request.estimatedTokens / size;
  const mean = input.load.meanOf(input.servers.slots) + share;
  return loadWith(input, server) > input.settings.loadBound * mean;
}

function moveToFront<Server extends PlacementServer>(
  order: readonly Server[],
  server: Server,
): Server[] {
  return [server, ...order.filter(other => other !== server)];
}

function findLeastLoaded<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  order: readonly Server[],
): Server {
  return order.reduce((best, server) =>
    loadWith(input, server) < loadWith(input, best) ? server : best,
  );
}

/** Finds the first server within the bound, or else the least loaded one. */
function findWithinBound<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  order: readonly Server[],
): Server {
  const within = order.find(server => !isOverBound(input, server));
  return within ?? findLeastLoaded(input, order);
}

/** Base class of policies that place along the chat's rendezvous order. */
abstract class OrderedPolicy implements PlacementPolicy {
  readonly #hasher: KeyHasher;

  constructor(hasher: KeyHasher) {
    this.#hasher = hasher;
  }

  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    return this.placeInOrder(input, orderServers(this.#hasher, input));
  }

  /** @param order the first servers of the chat's rendezvous order */
  protected abstract placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server>;
}

/** Follows the rendezvous order and ignores load. */
export class RendezvousPolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    _input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    return {candidates: order, firstChoice: serverAt(order, 0)};
  }
}

/** Chooses the first server of the rendezvous order within the load bound. */
export class BoundedRendezvousPolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    const chosen = findWithinBound(input, order);
    const firstChoice = serverAt(order, 0);
    return {candidates: moveToFront(order, chosen), firstChoice};
  }
}

/**
 * Always offers the request to the first choice, whose sidecar keeps a pointer
 * to the server that served the chat last. After a refusal, the least loaded of
 * the others is next.
 */
export class PointersPolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    const firstChoice = serverAt(order, 0);
    const others = order.slice(1);
    others.sort((a, b) => loadWith(input, a) - loadWith(input, b));
    return {candidates: [firstChoice, ...others], firstChoice};
  }
}

/** Scores candidates by expected wait plus the rebuild cost where not warm. */
export class CostScorePolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    const {settings, request} = input;
    const rebuildMs =
      (request.promptTokens * MS_PER_SECOND) / settings.prefillTokensPerSecond;
    const costOf = (server: Server, rank: number): number => {
      const tokens = input.load.loadOf(server.slot);
      const waitMs = (tokens * MS_PER_SECOND) / settings.decodeTokensPerSecond;
      const warm = rank === 0;
      return waitMs + (warm ? 0 : 2 * settings.reuseWeight * rebuildMs);
    };
    const scored = order.map((server, rank) => ({
      server,
      cost: costOf(server, rank),
    }));
    scored.sort((a, b) => a.cost - b.cost);
    const candidates = scored.map(item => item.server);
    return {candidates, firstChoice: serverAt(order, 0)};
  }
}

/**
 * Sends a returning chat to the server that has its context and leaves load
 * balancing to that server's sidecar. The sidecar queues the request until its
 * engine has capacity within the bound, or until another sidecar with capacity
 * takes the request over.
 */
export class HoldAndTakePolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    const firstChoice = serverAt(order, 0);
    // A new chat is warm nowhere, so it starts at a server within the bound.
    const chosen = input.request.returning
      ? firstChoice
      : findWithinBound(input, order);
    return {
      candidates: moveToFront(order, chosen),
      firstChoice,
      warmCandidates: this.#findPreviousServer(input, order),
    };
  }

  /** Finds the first choice that a chat had before its new one was added. */
  #findPreviousServer<Server extends PlacementServer>(
    {request, now}: PlacementInput<Server>,
    order: readonly Server[],
  ): readonly Server[] {
    const {readySince} = serverAt(order, 0);
    if (!request.returning || now - readySince >= NEW_SERVER_MS) return [];
    const previous = order.find(server => server.readySince < readySince);
    return previous ? [previous] : [];
  }
}
