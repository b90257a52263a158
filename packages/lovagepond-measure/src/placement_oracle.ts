/**
 * The all-knowing reference: it sees every cache and every load as they are.
 */
import {
  type Placement,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementServer,
} from '@lovagepond/router';
import {type SimulatedEngine} from './simulated_engine.js';

const CANDIDATES = 4;

/** Goes to the server that holds most of the chat, then to the idlest. */
export class OraclePolicy implements PlacementPolicy {
  readonly #engineOf: (server: string) => SimulatedEngine | undefined;

  /** @param engineOf looks into any server of the run */
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
    if (!first) throw new Error('the reference was given no server');
    return {candidates, firstChoice: first};
  }
}
