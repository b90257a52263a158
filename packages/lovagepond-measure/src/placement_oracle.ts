/**
 * The oracle baseline: a policy that reads the actual caches and loads.
 */
import {
  type Placement,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementServer,
} from '@lovagepond/router';
import {type SimulatedEngine} from './simulated_engine.js';

const CANDIDATES = 4;

/** Prefers the server that caches most of the chat, then the least loaded. */
export class OraclePolicy implements PlacementPolicy {
  readonly #engineOf: (server: string) => SimulatedEngine | undefined;

  /** @param engineOf returns the engine of a server */
  constructor(engineOf: (server: string) => SimulatedEngine | undefined) {
    this.#engineOf = engineOf;
  }

  place<Server extends PlacementServer>(
    input: PlacementInput<Server>,
  ): Placement<Server> {
    const {workspace, chat} = input.request;
    const chatKey = `${workspace}\u0000${chat}`;
    const states = input.servers.servers.map(server => {
      const engine = this.#engineOf(server.name);
      const cached = engine?.cache.peek(chatKey) ?? 0;
      return {server, cached, load: engine?.loadTokens ?? 0};
    });
    states.sort((a, b) => b.cached - a.cached || a.load - b.load);
    const candidates = states.slice(0, CANDIDATES).map(({server}) => server);
    const [first] = candidates;
    if (!first) throw new Error('the oracle policy got no servers');
    return {candidates, firstChoice: first};
  }
}
