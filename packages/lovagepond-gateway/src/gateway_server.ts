/**
 * The HTTP listener of a gateway: its connections, its limits, and its end.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
  type CallerLimits,
  type Clock,
  type Logger,
  type Random,
} from '@lovagepond/core';
import {HttpConnections} from '@lovagepond/process/http_connections';
import {HTTP_SERVER_OPTIONS} from '@lovagepond/process/http_limits';
import {type GatewayAdmission} from './gateway_admission.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {CallerChannel} from './gateway_caller_channel.js';
import {GatewayDrainAdmission} from './gateway_drain_admission.js';
import {noteThrown} from './gateway_exchange_log.js';
import {type ExchangeDependencies} from './gateway_exchange_types.js';
import {readFacts} from './gateway_headers.js';
import {GatewayIntake, type GatewayIntakeState} from './gateway_intake.js';
import {answerUnparsable} from './gateway_malformed_requests.js';
import {type OpenRequest, OpenRequests} from './gateway_open_requests.js';
import {guardHandler} from './gateway_request_guard.js';
import {DEFAULT_LIMITS, RequestPath} from './gateway_request_path.js';
import {type GatewaySettings} from './gateway_settings.js';
import {type GatewayStreams} from './gateway_streams.js';

/** Node's limit on request heads; above any limit of a configuration, bytes. */
const PARSER_HEAD_BYTES = 256 * 1024;

/**
 * Limit on a head that is incomplete, as a multiple of the limit on headers: the
 * request line may be as long again.
 */
const HEAD_PER_HEADERS = 2;

/** Requests of a connection that are not answered yet. */
const MAX_PIPELINED = 16;

/** Interval between checks for slow senders, milliseconds. */
const SLOW_SENDER_CHECK_MS = 250;

/**
 * Added to the idle timeout, milliseconds. A request that a caller sends just
 * before the timeout must not meet a closed connection.
 */
const IDLE_MARGIN_MS = 1_000;

/**
 * Interval at which a draining gateway rejects requests that can't end in time
 * any more, milliseconds.
 */
const DRAIN_CHECK_MS = 50;

export interface GatewayServerDependencies extends Omit<
  ExchangeDependencies,
  'conditions' | 'durations'
> {
  readonly admission: GatewayAdmission;
  readonly streams: GatewayStreams;
  readonly random: Random;
}

type ListenerSettings = Pick<
  GatewaySettings,
  'host' | 'port' | 'maxHeldBytes' | 'maxConnections' | 'maxRequests'
>;

/** State for the metrics and the state dump. */
interface ListenerState extends GatewayIntakeState {
  /** Connections closed because of a limit, by limit. */
  readonly closedByLimit: Readonly<Record<string, number>>;
  /** Memory of the bodies of all requests, bytes. */
  readonly heldBodyBytes: number;
}

export class GatewayServer {
  readonly #settings: ListenerSettings;
  readonly #deps: GatewayServerDependencies;
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #server: Server;
  readonly #intake: GatewayIntake;
  readonly #path: RequestPath;
  readonly #openRequests: OpenRequests;
  readonly #drainAdmission = new GatewayDrainAdmission();
  readonly #connections: HttpConnections;
  #drainCheck: NodeJS.Timeout | undefined;

  constructor(settings: ListenerSettings, deps: GatewayServerDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#clock = deps.clock;
    this.#log = deps.log;
    this.#openRequests = new OpenRequests(deps);
    this.#server = createServer({
      ...HTTP_SERVER_OPTIONS,
      maxHeaderSize: PARSER_HEAD_BYTES,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      noDelay: true,
      requestTimeout: 0,
    });
    const {maxConnections, maxHeldBytes, maxRequests} = settings;
    this.#path = new RequestPath({
      ...deps,
      maxHeldBytes,
      maxRequests,
      drainAdmission: this.#drainAdmission,
    });
    this.#intake = new GatewayIntake(this.#server, deps);
    this.#connections = new HttpConnections(
      this.#server,
      {
        maxConnections,
        maxPipelined: MAX_PIPELINED,
        unreadTimeoutMs: DEFAULT_LIMITS.idleTimeoutMs,
      },
      deps.log,
    );
    this.#server.on('request', (req, res) => {
      if (this.#connections.isTooLate(req, res)) req.resume();
      else this.#open(req, res);
    });
    this.#server.on('clientError', (err: Error & {code?: string}, socket) => {
      const answer = answerUnparsable(err, this.#log);
      this.#connections.answerUnparsable(socket as Socket, answer);
    });
    this.useLimits(undefined);
  }

  /** Requests whose response is not completely delivered. */
  get inFlight(): number {
    return this.#openRequests.size;
  }

  /** Requests that the end of the process would cut. */
  get unfinished(): number {
    return this.#openRequests.unfinished;
  }

  /** What limits the intake of connections and requests. */
  get intake(): ListenerState {
    return {
      ...this.#intake.describe(),
      closedByLimit: this.#connections.limits.closedByLimit,
      heldBodyBytes: this.#path.heldBodyBytes,
    };
  }

  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  /** @param limits limits for callers; the defaults when undefined */
  useLimits(limits: CallerLimits | undefined): void {
    const used = limits ?? DEFAULT_LIMITS;
    const {headerTimeoutMs, idleTimeoutMs, maxHeaderBytes} = used;
    this.#path.useLimits(used);
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    const connections = this.#connections.limits;
    connections.useUnreadTimeout(idleTimeoutMs);
    connections.useMaxHeadBytes(HEAD_PER_HEADERS * maxHeaderBytes);
  }

  /** Binds the address. */
  async start(): Promise<void> {
    const {host, port} = this.#settings;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Starts draining: each response closes its connection, idle connections are
   * closed, and requests that can't finish in time are rejected. Responses that
   * began before did not announce the close, so their connections are closed
   * once they are delivered.
   *
   * @param endsAt when the process exits at the latest, monotonic milliseconds
   */
  beginDraining(endsAt: number): void {
    this.#drainAdmission.begin(endsAt);
    // The configuration that these requests wait for may never arrive.
    this.#path.refuseQueued();
    this.#deps.overload.beginDraining();
    this.#connections.closeIdle(false);
    this.#path.refuseLate();
    this.#drainCheck = setInterval(() => {
      this.#path.refuseLate();
    }, DRAIN_CHECK_MS);
  }

  /** Stops listening, and resolves once all responses are delivered. */
  async finish(): Promise<void> {
    this.#intake.stop();
    void this.#connections.stopListening();
    await this.#openRequests.whenNone();
  }

  /** Closes the listener and all connections immediately. */
  stop(): void {
    this.#openRequests.logCut();
    clearInterval(this.#drainCheck);
    this.#intake.stop();
    this.#deps.overload.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Decides on the queued requests if the configuration and the server list
   * allow it. Called after each change of these.
   *
   * @returns true when requests can be decided on
   */
  retryQueued(): boolean {
    if (this.#deps.admission.isStarting(this.#readClock())) return false;
    this.#path.retryQueued();
    return true;
  }

  /** Aborts the requests that are quarantined by now. */
  abortQuarantined(): void {
    this.#path.abortQuarantined();
  }

  #readClock(): ClockReading {
    return readClock(this.#clock);
  }

  #open(req: IncomingMessage, res: ServerResponse): void {
    const caller = new CallerChannel(
      res,
      this.#deps.random,
      () => this.#drainAdmission.isDraining && this.#connections.mayClose(res),
    );
    const facts = readFacts(req.headers, this.#deps.names);
    // The request may have reached a server.
    const onThrown = (err: unknown): void => {
      noteThrown(this.#deps, err, facts.requestId);
      caller.cut();
    };
    const open: OpenRequest = {
      requestId: facts.requestId,
      res,
      caller,
      arrivedAt: this.#clock.now(),
      exchange: undefined,
    };
    this.#openRequests.add(open);
    const incoming = {req, facts, caller, open, onThrown};
    guardHandler(() => {
      this.#path.serve(incoming);
    }, onThrown)();
  }
}
