/**
 * One router of the placement simulation: the production policy and load view,
 * with a simplified sequence of attempts.
 */
import {ERROR_ANSWERS, type ErrorKind, Random} from '@lovagepond/core';
import {
  type KeyHasher,
  makeChatText,
  type PlacementPolicy,
  type PlacementServer,
  RendezvousTable,
  RouterLoadView,
} from '@lovagepond/router';
import {type PlacementOutcomes} from './placement_outcomes.js';
import {
  type Attempt,
  type AttemptOwner,
  HOP_MS,
  type PlacementSimulationSettings,
  workOfArrival,
} from './placement_simulation_types.js';
import {type Arrival} from './placement_workload.js';
import {type SimulatedServer} from './simulated_server.js';
import {type VirtualTime} from './virtual_time.js';

const MAX_ATTEMPTS = 5;

/** A backend server on a router's list. */
interface ListedServer extends PlacementServer {
  readonly handle: SimulatedServer;
}

/** A request without a final outcome. */
interface PendingRequest {
  readonly arrival: Arrival;
  readonly candidates: readonly ListedServer[];
  readonly firstChoice: string;
  readonly warmCandidates: readonly string[];
  readonly tried: Set<string>;
  attempts: number;
  handOvers: number;
}

export interface SimulatedRouterDependencies {
  readonly time: VirtualTime;
  readonly settings: PlacementSimulationSettings;
  readonly hasher: KeyHasher;
  readonly outcomes: PlacementOutcomes;
}

export class SimulatedRouter implements AttemptOwner {
  readonly #deps: SimulatedRouterDependencies;
  readonly #policy: PlacementPolicy;
  readonly #random: Random;
  readonly #view = new RouterLoadView();
  readonly #readySince = new Map<string, number>();
  #listed = new Map<string, ListedServer>();
  #table: RendezvousTable<ListedServer> | undefined;
  readonly #pending = new Map<string, PendingRequest>();

  constructor(
    deps: SimulatedRouterDependencies,
    policy: PlacementPolicy,
    seed: number,
  ) {
    this.#deps = deps;
    this.#policy = policy;
    this.#random = new Random(seed);
  }

  /** @param servers the new list */
  setList(servers: readonly SimulatedServer[]): void {
    const since = this.#table ? this.#deps.time.now : Number.NEGATIVE_INFINITY;
    const listed = servers.map(handle => {
      const {name, slot} = handle;
      const readySince = this.#readySince.get(name) ?? since;
      this.#readySince.set(name, readySince);
      return {name, slot, readySince, handle};
    });
    this.#listed = new Map(listed.map(server => [server.name, server]));
    this.#table = new RendezvousTable(listed, this.#deps.hasher);
  }

  /**
   * @param loads the load digest
   * @param measuredAt when control built the digest
   */
  setDigest(loads: Uint8Array, measuredAt: number): void {
    this.#view.applyDigest(loads, measuredAt);
  }

  /**
   * @param workspace a chat's workspace
   * @param chat the chat
   * @param leaving a server that is about to leave
   * @returns the chat's home without that server
   */
  homeOf(
    workspace: string,
    chat: string,
    leaving: string,
  ): SimulatedServer | undefined {
    const key = this.#deps.hasher.hash(makeChatText(workspace, chat));
    const order = this.#table?.order(key, 2) ?? [];
    const servers = order.map(index => this.#table?.servers[index]);
    return servers.find(server => server?.name !== leaving)?.handle;
  }

  /** @param arrival a request that arrives now */
  dispatch(arrival: Arrival): void {
    const {time, settings, outcomes} = this.#deps;
    outcomes.arrived(arrival);
    if (!this.#table || this.#table.servers.length === 0) {
      outcomes.refused(arrival);
      return;
    }
    const placement = this.#policy.place({
      request: {
        workspace: arrival.workspace,
        chat: arrival.chat,
        estimatedTokens: workOfArrival(arrival),
        promptTokens: arrival.promptTokens,
        returning: arrival.contextTokens > 0,
      },
      servers: this.#table,
      load: this.#view,
      settings: settings.pool,
      now: time.now,
      random: this.#random,
    });
    const {candidates, firstChoice, warmCandidates = []} = placement;
    const pending: PendingRequest = {
      arrival,
      candidates,
      firstChoice: firstChoice.name,
      warmCandidates: warmCandidates.map(({name}) => name),
      tried: new Set(),
      attempts: 0,
      handOvers: 0,
    };
    this.#pending.set(arrival.id, pending);
    this.#sendNext(pending);
  }

  refused(attempt: Attempt, kind: ErrorKind, pointer: string): void {
    const pending = this.#pending.get(attempt.arrival.id);
    if (!pending) return;
    const pointerTarget = this.#listed.get(pointer);
    if (kind === 'handedOver') pending.handOvers++;
    if (kind === 'servedElsewhere') pending.tried.delete(pending.firstChoice);
    if (pointerTarget && pending.attempts < MAX_ATTEMPTS) {
      this.#send(pending, pointerTarget);
    } else if (ERROR_ANSWERS[kind].anotherAttempt) this.#sendNext(pending);
    else this.#refuse(pending);
  }

  firstToken(attempt: Attempt, cachedTokens: number): void {
    const {outcomes, time} = this.#deps;
    const pending = this.#pending.get(attempt.arrival.id);
    if (!pending) return;
    const {arrival, attempts} = pending;
    outcomes.firstToken(arrival, cachedTokens, time.now, attempts);
  }

  done({arrival}: Attempt): void {
    this.#pending.delete(arrival.id);
    this.#deps.outcomes.done(arrival, this.#deps.time.now);
  }

  lost({arrival, streaming}: Attempt): void {
    const pending = this.#pending.get(arrival.id);
    if (!pending) return;
    if (!streaming) {
      this.#sendNext(pending);
      return;
    }
    this.#pending.delete(arrival.id);
    this.#deps.outcomes.failed(arrival);
  }

  observed(backendServer: string, tokens: number): void {
    const listed = this.#listed.get(backendServer);
    if (!listed) return;
    this.#view.recordObserved(listed.slot, tokens, this.#deps.time.now);
  }

  #sendNext(pending: PendingRequest): void {
    const next = pending.candidates.find(({name}) => !pending.tried.has(name));
    if (next && pending.attempts < MAX_ATTEMPTS) this.#send(pending, next);
    else this.#refuse(pending);
  }

  #send(pending: PendingRequest, server: ListedServer): void {
    const {time} = this.#deps;
    const {arrival, firstChoice, handOvers} = pending;
    pending.attempts++;
    pending.tried.add(server.name);
    const attempt: Attempt = {
      attemptId: `${arrival.id}#${pending.attempts}`,
      arrival,
      firstChoice,
      // A retry doesn't name other warm candidates: the first choice would
      // redirect it to them again, in a loop.
      warmCandidates: pending.warmCandidates.filter(
        name => pending.attempts === 1 || name === server.name,
      ),
      handOvers,
      owner: this,
      streaming: false,
    };
    this.#view.recordSent(server.slot, workOfArrival(arrival), time.now);
    time.after(HOP_MS, () => {
      if (server.handle.alive) server.handle.offer(attempt);
      else time.after(HOP_MS, () => this.refused(attempt, 'unreachable', ''));
    });
  }

  #refuse({arrival}: PendingRequest): void {
    this.#pending.delete(arrival.id);
    this.#deps.outcomes.refused(arrival);
  }
}
