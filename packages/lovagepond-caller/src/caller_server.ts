/**
 * The HTTP/1.1 server for callers: tinyhttp routes on a Node server.
 */
import {randomInt, randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {App, type Request, type Response} from '@tinyhttp/app';
import {
  type Clock,
  type DrainResult,
  type Failure,
  type Logger,
  makeFailure,
  Random,
} from '@lovagepond/core';
import {BodyBudget} from '@lovagepond/process/http_body_budget';
import {HttpConnections} from '@lovagepond/process/http_connections';
import {
  DEFAULT_HTTP_LIMITS,
  HTTP_SERVER_OPTIONS,
} from '@lovagepond/process/http_limits';
import {type HttpResponseSink} from './caller_response.js';
import {CallerConnections} from './caller_connections.js';
import {CALLER_PATH} from './caller_constants.js';
import {type ExchangeContext, runExchange} from './caller_exchange.js';
import {KeysInFlight} from './caller_keys.js';
import {CallerRefusals} from './caller_refusals.js';
import {ENDPOINT, type Endpoint} from './caller_request.js';
import {
  type CallerCounters,
  type CallerHandler,
  type CallerSettings,
} from './caller_types.js';

export interface CallerServerDependencies {
  readonly clock: Clock;
  readonly handler: CallerHandler;
  /** Logs which limit has closed connections. */
  readonly log?: Logger;
  /** Generates request ids; random UUIDs by default. */
  readonly nextRequestId?: () => string;
  /** Draws the jitter of retry times; randomly seeded by default. */
  readonly random?: Random;
}

const MAX_SEED = 2 ** 31;
/** Interval between Node's checks of the head and request timeouts. */
const CONNECTION_CHECK_MS = 1_000;
/** Time to deliver refusals before the exit, milliseconds. */
const BODY_MARGIN_MS = 1_500;
/** Base of the retry time of requests that another process has to serve, ms. */
const LEAVING_RETRY_MS = 500;
const PIPELINED = 'A request of this connection is still in flight.';
const SOCKET_BUFFER_BYTES = 32 * 1024;
/** Longest wait for callers to close their connections too, milliseconds. */
const CLOSE_WAIT_MS = 1_000;

/** Accepts callers' requests and passes them to a {@link CallerHandler}. */
export class CallerServer {
  readonly #settings: CallerSettings;
  readonly #context: ExchangeContext;
  readonly #refusals = new CallerRefusals();
  readonly #connections = new CallerConnections(this.#refusals);
  readonly #keys = new KeysInFlight();
  readonly #bodies: BodyBudget;
  readonly #server: Server;
  readonly #httpConnections: HttpConnections;
  readonly #responses = new Set<Response>();
  /** Refuses the requests whose bodies are not whole before the exit. */
  readonly #leaving = new AbortController();
  #openConnections = 0;
  #requests = 0;
  #slowReadersEnded = 0;
  #callersGone = 0;
  #draining = false;

  /**
   * @param settings limits and the address to listen on
   * @param deps the handler and further dependencies
   */
  constructor(settings: CallerSettings, deps: CallerServerDependencies) {
    this.#settings = settings;
    this.#bodies = new BodyBudget(settings.maxHeldBodyBytes);
    // Each request whose body is being received listens to it.
    setMaxListeners(0, this.#leaving.signal);
    this.#context = {
      settings,
      clock: deps.clock,
      handler: deps.handler,
      keys: this.#keys,
      refusals: this.#refusals,
      bodies: this.#bodies,
      random: deps.random ?? new Random(randomInt(MAX_SEED)),
      nextRequestId: deps.nextRequestId ?? randomUUID,
      leaving: this.#leaving.signal,
    };
    this.#server = this.#makeServer();
    this.#httpConnections = this.#boundConnections(this.#server, deps.log);
    this.#connections.attach(this.#server, this.#httpConnections);
  }

  /** Binds the address; resolves once callers can connect. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#settings.port, this.#settings.host, resolve);
    });
  }

  /** The port in use after {@link CallerServer.start}. */
  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? this.#settings.port;
  }

  get counters(): CallerCounters {
    return {
      connections: this.#openConnections,
      inFlight: this.#responses.size,
      requests: this.#requests,
      heldBodyBytes: this.#bodies.heldBytes,
      refusedConnections: this.#connections.refused,
      malformed: this.#connections.malformed,
      closedByLimit: this.#httpConnections.limits.closedByLimit,
      refusedByKind: this.#refusals.byKind,
      slowReadersEnded: this.#slowReadersEnded,
      callersGone: this.#callersGone,
    };
  }

  /**
   * Shuts down gracefully. Responses whose head is not sent carry
   * `connection: close`. New connections are accepted during the grace period,
   * until the platform's load balancer has noticed the shutdown. Then the port
   * closes, and each connection once its responses are delivered.
   *
   * @param limitMs total time limit, milliseconds; responses that are not
   *     delivered by then are cut off
   * @returns the number of responses that were cut off
   */
  async drain(limitMs: number): Promise<DrainResult> {
    if (this.#draining) return {unfinished: this.#responses.size};
    this.#draining = true;
    for (const res of this.#responses) announceClose(res);
    let unfinished = 0;
    const limit = new AbortController();
    const timer = setTimeout(() => {
      limit.abort();
      unfinished = this.#responses.size;
      this.#server.closeAllConnections();
    }, limitMs);
    const bodyLimitMs = Math.max(0, limitMs - BODY_MARGIN_MS);
    const bodyTimer = setTimeout(() => {
      this.#leaving.abort(this.#makeLeavingFailure());
    }, bodyLimitMs);
    const {signal} = limit;
    await pause(this.#settings.drainGraceMs, signal);
    const connections = this.#httpConnections;
    const closed = connections.stopListening();
    connections.closeIdle();
    if (signal.aborted) this.#server.closeAllConnections();
    // A request whose head was on its way may arrive during the wait.
    do {
      await connections.whenDelivered();
      await Promise.race([closed, pause(CLOSE_WAIT_MS, signal)]);
    } while (connections.undelivered > 0);
    clearTimeout(timer);
    clearTimeout(bodyTimer);
    this.#server.closeAllConnections();
    await closed;
    return {unfinished};
  }

  /** Stops immediately; responses in flight are cut off. */
  async stop(): Promise<void> {
    this.#draining = true;
    const closed = new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
    this.#server.closeAllConnections();
    await closed;
  }

  #makeServer(): Server {
    const settings = this.#settings;
    const server = createServer({
      ...HTTP_SERVER_OPTIONS,
      maxHeaderSize: settings.maxHeaderBytes,
      headersTimeout: settings.senderTimeoutMs,
      // Covers head and body; `readBody` applies a stricter limit to the body.
      requestTimeout: 2 * settings.senderTimeoutMs + CONNECTION_CHECK_MS,
      keepAliveTimeout: settings.keepAliveMs,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      highWaterMark: SOCKET_BUFFER_BYTES,
      noDelay: true,
    });
    server.on('connection', socket => {
      this.#openConnections += 1;
      socket.on('close', () => {
        this.#openConnections -= 1;
      });
    });
    return server;
  }

  #boundConnections(server: Server, log: Logger | undefined): HttpConnections {
    const {maxConnections, readerTimeoutMs} = this.#settings;
    const limits = {
      ...DEFAULT_HTTP_LIMITS,
      maxConnections,
      unreadTimeoutMs: readerTimeoutMs,
    };
    const connections = new HttpConnections(server, limits, log);
    const app = this.#makeRoutes();
    connections.onRequest((req, res) => {
      // Routing may throw on a malformed path. Uncaught, the exception would
      // end the process and with it all other responses.
      try {
        app.handler(req as Request, res as Response);
      } catch {
        this.#refusals.refuse(req, res, makeFailure('badRequest'));
      }
    });
    return connections;
  }

  #makeRoutes(): App {
    const app = new App({
      settings: {xPoweredBy: false},
      applyExtensions: (_req, _res, next) => {
        next();
      },
      noMatchHandler: (req, res) => {
        this.#refusals.refuse(req, res, makeFailure('notFound'));
      },
      onError: (_err, req, res) => {
        if (res.headersSent) res.destroy();
        else this.#refusals.refuse(req, res, makeFailure('internal'));
      },
    });
    app.post(CALLER_PATH.CHAT_COMPLETIONS, (req, res) => {
      this.#serve(req, res, ENDPOINT.COMPLETION);
    });
    app.use(CALLER_PATH.SERVICES.slice(0, -1), (req, res) => {
      this.#serve(req, res, ENDPOINT.SERVICE);
    });
    return app;
  }

  #makeLeavingFailure(): Failure {
    const message = 'The process exits before the body was whole.';
    const retryAfterMs = LEAVING_RETRY_MS * (1 + this.#context.random.next());
    return makeFailure('draining', {message, retryAfterMs});
  }

  #serve(req: Request, res: Response, endpoint: Endpoint): void {
    if (req.method !== 'POST') {
      this.#refusals.refuse(req, res, makeFailure('notFound'));
      return;
    }
    // Responses to pipelined requests would be buffered until the first one was
    // sent, which is memory that no limit accounts for.
    if (!this.#connections.tryBeginRequest(req.socket)) {
      this.#refusals.refuse(
        req,
        res,
        makeFailure('badRequest', {message: PIPELINED}),
      );
      return;
    }
    this.#requests += 1;
    this.#responses.add(res);
    if (this.#draining) announceClose(res);
    const exchange = runExchange(
      req,
      res,
      {path: req.originalUrl, endpoint},
      this.#context,
    );
    // Uncaught, a fault in one exchange would end the process and with it all
    // other responses.
    exchange.catch(() => res.destroy());
    res.on('close', () => {
      this.#onResponseClosed(req, res, exchange);
    });
  }

  #onResponseClosed(
    req: Request,
    res: Response,
    exchange: Promise<HttpResponseSink | undefined>,
  ): void {
    this.#connections.endRequest(req.socket);
    this.#responses.delete(res);
    if (!res.writableFinished) {
      const count = (sink?: HttpResponseSink): void => {
        if (sink?.wasSlowReader) this.#slowReadersEnded += 1;
        else this.#callersGone += 1;
      };
      exchange.then(count, () => undefined);
    }
  }
}

/** @param res a response; nothing is changed after its head was sent */
function announceClose(res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}

/** Waits for a time in milliseconds, or until the signal is aborted. */
async function pause(ms: number, signal: AbortSignal): Promise<void> {
  await wait(ms, undefined, {signal, ref: false}).catch(() => undefined);
}
