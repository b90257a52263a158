/**
 * Policies that start from the chat's rendezvous order.
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
 * A server that became ready less long ago than this is young: chats that
 * return may have been served before it came, by the next of their order.
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

/** True when the request would put the server over the pool's bound. */
function isOverBound<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  server: Server,
): boolean {
  const size = input.servers.servers.length;
  const share = input.request.estimatedTokens / size;
  const mean = input.load.meanOf(input.servers.slots) + share;
  return loadWith(input, server) > input.settings.loadBound * mean;
}

/** Puts the server in front and keeps the others' order. */
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

/** The first within the bound; when none is, the least loaded. */
function findWithinBound<Server extends PlacementServer>(
  input: PlacementInput<Server>,
  order: readonly Server[],
): Server {
  const within = order.find(server => !isOverBound(input, server));
  return within ?? findLeastLoaded(input, order);
}

/** Places over the chat's rendezvous order. */
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

/** The rendezvous order alone, whatever the load. */
export class RendezvousPolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    _input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    return {candidates: order, firstChoice: serverAt(order, 0)};
  }
}

/** The first of the rendezvous order that stays within the bound. */
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
 * Always asks the first choice, whose sidecar points on to where the chat was
 * served last; a refusal goes to the least loaded of the others.
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

/**
 * Weighs the expected wait at each candidate against the cost of rebuilding
 * the context where it is not expected to be warm.
 */
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
 * Goes to where the chat's context is, and leaves load to the sidecar there:
 * it holds the request outside of its engine until there is room within the
 * bound, or until a sidecar with room takes it.
 */
export class HoldAndTakePolicy extends OrderedPolicy {
  protected override placeInOrder<Server extends PlacementServer>(
    input: PlacementInput<Server>,
    order: readonly Server[],
  ): Placement<Server> {
    const firstChoice = serverAt(order, 0);
    // A new chat is cold everywhere: it starts within the bound.
    const chosen = input.request.returning
      ? firstChoice
      : findWithinBound(input, order);
    return {
      candidates: moveToFront(order, chosen),
      firstChoice,
      warmCandidates: this.#findPreviousServer(input, order),
    };
  }

  /** Where a chat was at home just before its young first choice came. */
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
