/**
 * The backend servers of one request: those that it may be sent to, those that
 * it was sent to, and the version that its stream is bound to.
 */
import {type BackendServer, type ErrorKind} from '@lovagepond/core';
import {type AssumedLoad, type ServerChoice} from './gateway_choice.js';
import {toChoiceRequest} from './gateway_choice_request.js';
import {EligibleServers} from './gateway_eligible_servers.js';
import {
  type AdmittedRequest,
  type ExchangeDependencies,
} from './gateway_exchange_types.js';
import {type ServerState} from './gateway_server_state.js';
import {ServersWithoutRoom} from './gateway_servers_without_room.js';
import {StreamBinding} from './gateway_stream_origin.js';

type ExchangeServersDependencies = Pick<
  ExchangeDependencies,
  'choice' | 'fleet' | 'warmUp' | 'streams'
>;

/** Limits the servers of an attempt to those with room for the request. */
type Limit = (servers: readonly ServerState[]) => readonly ServerState[];

/** The servers to choose from for one attempt. */
interface Candidates {
  readonly servers: readonly ServerState[];
  /** Names of servers that must not be chosen. */
  readonly tried: ReadonlySet<string>;
}

/** When a request was sent to a server, for logs. */
export interface LastSend {
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Time from the choice of the server to the send, milliseconds. */
  readonly afterChoiceMs: number;
  /** The server was warming up, as far as this gateway knew. */
  readonly isWarmingUp: boolean;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

export class ExchangeServers {
  readonly eligible: EligibleServers;
  readonly withoutRoom: ServersWithoutRoom;
  readonly #req: AdmittedRequest;
  readonly #deps: ExchangeServersDependencies;
  readonly #binding: StreamBinding;
  readonly #tried = new Set<string>();
  readonly #attempted: BackendServer[] = [];
  #assumed: AssumedLoad | undefined;
  #chosenAt = 0;
  #lastSend: LastSend | undefined;

  /**
   * @param req the request
   * @param deps all servers, their selection, and the known streams
   */
  constructor(req: AdmittedRequest, deps: ExchangeServersDependencies) {
    this.#req = req;
    this.#deps = deps;
    this.#binding = new StreamBinding(req.origin);
    this.eligible = new EligibleServers(req, this.#binding, deps);
    this.withoutRoom = new ServersWithoutRoom(deps.warmUp);
  }

  /** Servers of all attempts, in order. */
  get attempted(): readonly BackendServer[] {
    return this.#attempted;
  }

  /** What was assumed of the last attempt's server. */
  get assumed(): AssumedLoad | undefined {
    return this.#assumed;
  }

  /** The last send of the request; undefined if it wasn't sent. */
  get lastSend(): LastSend | undefined {
    return this.#lastSend;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the error when no server is left
   */
  errorWithoutServer(now: number): ErrorKind {
    if (this.withoutRoom.hasWarmingUp || this.eligible.isWarmingUp(now)) {
      return 'overloaded';
    }
    return this.#binding.origin ? 'streamVersionGone' : 'noBackendServer';
  }

  /**
   * @param limit limits the candidates
   * @param now current time, monotonic milliseconds
   * @returns a server for the next attempt; undefined when none is left
   */
  choose(limit: Limit, now: number): ServerChoice | undefined {
    const {choice, fleet} = this.#deps;
    const {servers: ready, holders} = this.eligible.list(now);
    const {servers, tried} = this.#candidates(ready, now);
    const open = servers.filter(state => this.withoutRoom.mayTry(state, now));
    if (open.length === 0) return undefined;
    const listed = fleet.listed(this.#req.pool.name);
    const candidates = {servers: limit(open), holders, listed, tried};
    this.#chosenAt = now;
    return choice.choose(toChoiceRequest(this.#req, candidates), now);
  }

  /** @param chosen the server that the next attempt uses */
  noteAttempt({state: {server}, assumed}: ServerChoice): void {
    this.#tried.add(server.name);
    this.#attempted.push(server);
    this.#assumed = assumed;
  }

  /**
   * Must be called right before the request is written to a connection.
   *
   * @param state the server
   * @param now current time, monotonic milliseconds
   * @returns false if it must not be sent there any more
   */
  beginSend(state: ServerState, now: number): boolean {
    if (!this.eligible.maySend(state, now)) return false;
    this.#lastSend = {
      at: now,
      afterChoiceMs: now - this.#chosenAt,
      isWarmingUp: state.server.warmUp !== undefined,
    };
    return true;
  }

  /**
   * Binds the stream to the current attempt's server, if it is the first one
   * with an event. Must be called before events are passed on, as the caller may
   * resume the stream after them.
   *
   * @param now current time, monotonic milliseconds
   */
  bindStream(now: number): void {
    const server = this.#attempted.at(-1);
    const origin = server && this.#binding.bind(server);
    const {workspace, facts, rule} = this.#req;
    const {resumable, timeoutMs} = rule.forwarding;
    if (!origin || !resumable) return;
    const stream = {workspace, firstRequestId: facts.requestId};
    this.#deps.streams.record(stream, origin, timeoutMs, now);
  }

  /**
   * A stream that no other server can continue goes to one that is draining or,
   * as it may have lost only its connection, to a server that was tried.
   *
   * @param ready servers that accept the request
   * @param now current time, monotonic milliseconds
   */
  #candidates(ready: readonly ServerState[], now: number): Candidates {
    const isUntried = ({server}: ServerState): boolean =>
      !this.#tried.has(server.name);
    const untried = ready.filter(isUntried);
    const tried = this.#tried;
    if (untried.length > 0 || !this.#binding.origin) {
      return {servers: untried, tried};
    }
    const draining = this.eligible.draining(now).filter(isUntried);
    if (draining.length > 0) return {servers: draining, tried};
    return {servers: ready, tried: NO_SERVERS};
  }
}
