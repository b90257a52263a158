/**
 * The HTTP listener of a gateway: rejects malformed requests, passes the others
 * to admission control, and runs an exchange for each admitted one.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
  answerFor,
  type CallerLimits,
  type Clock,
  type ErrorKind,
  type Logger,
  type Random,
  toRequestSubjects,
} from '@lovagepond/core';
import {type GatewayAdmission} from './gateway_admission.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {CallerChannel} from './gateway_caller_channel.js';
import {Exchange} from './gateway_exchange.js';
import {
  type AdmittedRequest,
  type ExchangeDependencies,
} from './gateway_exchange_types.js';
import {GatewayIntake, type GatewayIntakeState} from './gateway_intake.js';
import {GatewayDrainAdmission} from './gateway_drain_admission.js';
import {noteThrown} from './gateway_exchange_log.js';
import {readFacts, type RequestFacts} from './gateway_headers.js';
import {type GatewaySettings} from './gateway_settings.js';
import {fingerprintOf} from '@lovagepond/router/quarantine';
import {StartupQueue} from './gateway_startup_queue.js';
import {findFault, rejectUnparsable} from './gateway_malformed_requests.js';
import {type BodyListener, readBody} from './gateway_request_body.js';
import {
  guardHandler,
  guardHandlers,
  type OnThrown,
} from './gateway_request_guard.js';
import {type GatewayStreams} from './gateway_streams.js';
import {resumesStream, resumeStream} from './gateway_stream_resumption.js';

/** Limits used until the configuration sets them. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Node's limit on request heads; above any limit of a configuration, bytes. */
const PARSER_HEAD_BYTES = 256 * 1024;

/** Interval between checks for slow senders, milliseconds. */
const SLOW_SENDER_CHECK_MS = 250;

/**
 * Added to the idle timeout, milliseconds. A request that a caller sends just
 * before the timeout must not meet a closed connection.
 */
const IDLE_MARGIN_MS = 1_000;

/**
 * Interval at which a draining gateway closes idle keep-alive connections,
 * milliseconds. A response that began before draining did not announce the
 * close, so its caller would send the next request on the connection.
 */
const IDLE_SWEEP_MS = 100;

/** Deadline that the startup queue assumes for requests without one, ms. */
const DEFAULT_DEADLINE_MS = 1_000;

export interface GatewayServerDependencies extends ExchangeDependencies {
  readonly admission: GatewayAdmission;
  readonly streams: GatewayStreams;
  readonly random: Random;
}

/** A request whose head has arrived. */
interface IncomingRequest {
  readonly req: IncomingMessage;
  readonly facts: RequestFacts;
  readonly caller: CallerChannel;
  /** Ends the request after an unexpected exception. */
  readonly onThrown: OnThrown;
}

type Admitted = Extract<
  ReturnType<GatewayAdmission['admit']>,
  {ok: true}
>['admitted'];

type ListenerSettings = Pick<
  GatewaySettings,
  'host' | 'port' | 'maxHeldBytes' | 'maxConnections'
>;

export class GatewayServer {
  readonly #settings: ListenerSettings;
  readonly #deps: GatewayServerDependencies;
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #server: Server;
  readonly #intake: GatewayIntake;
  readonly #startupQueue = new StartupQueue();
  #limits = DEFAULT_LIMITS;
  /** Responses that are not completely delivered. */
  #openResponses = 0;
  #bufferedBytes = 0;
  /** Exchanges in flight. */
  readonly #exchanges = new Set<Exchange>();
  readonly #drainAdmission = new GatewayDrainAdmission();
  #idleSweep: NodeJS.Timeout | undefined;
  #onAllDelivered: (() => void) | undefined;

  constructor(settings: ListenerSettings, deps: GatewayServerDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#clock = deps.clock;
    this.#log = deps.log;
    this.#server = createServer({
      maxHeaderSize: PARSER_HEAD_BYTES,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      noDelay: true,
      requestTimeout: 0,
    });
    const {maxConnections} = settings;
    this.#intake = new GatewayIntake(this.#server, {...deps, maxConnections});
    this.#server.on('request', (req, res) => {
      this.#open(req, res);
    });
    this.#server.on('clientError', (err: Error & {code?: string}, socket) => {
      rejectUnparsable(err, socket as Socket, this.#log);
    });
    this.useLimits(undefined);
  }

  /** Requests whose response is not completely delivered. */
  get inFlight(): number {
    return this.#openResponses;
  }

  /** What limits the intake of connections. */
  get intake(): GatewayIntakeState {
    return this.#intake.describe();
  }

  get port(): number {
    const address = this.#server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  /** @param limits limits for callers; the defaults when undefined */
  useLimits(limits: CallerLimits | undefined): void {
    this.#limits = limits ?? DEFAULT_LIMITS;
    const {headerTimeoutMs, idleTimeoutMs} = this.#limits;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
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
   * closed, and requests that can't finish in time are rejected.
   *
   * @param endsAt when the process exits at the latest, monotonic milliseconds
   */
  beginDraining(endsAt: number): void {
    this.#drainAdmission.begin(endsAt);
    // The configuration that these requests wait for may never arrive.
    this.#startupQueue.refuseAll();
    this.#deps.overload.beginDraining();
    this.#idleSweep = setInterval(() => {
      this.#server.closeIdleConnections();
    }, IDLE_SWEEP_MS);
  }

  /** Stops listening, and resolves once all responses are delivered. */
  async finish(): Promise<void> {
    this.#intake.stop();
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#openResponses === 0) return;
    await new Promise<void>(resolve => {
      this.#onAllDelivered = resolve;
    });
  }

  /** Closes the listener and all connections immediately. */
  stop(): void {
    clearInterval(this.#idleSweep);
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
    this.#startupQueue.retryAll();
    return true;
  }

  /** Aborts the requests that are quarantined by now. */
  abortQuarantined(): void {
    for (const exchange of [...this.#exchanges]) exchange.abortQuarantined();
  }

  #readClock(): ClockReading {
    return readClock(this.#clock);
  }

  #open(req: IncomingMessage, res: ServerResponse): void {
    const caller = new CallerChannel(
      res,
      this.#deps.random,
      () => this.#drainAdmission.isDraining,
    );
    this.#openResponses += 1;
    res.once('close', () => {
      this.#openResponses -= 1;
      if (this.#openResponses === 0) this.#onAllDelivered?.();
    });
    const facts = readFacts(req.headers, this.#deps.names);
    // The request may have reached a server.
    const onThrown = (err: unknown): void => {
      noteThrown(this.#deps, err, facts.requestId);
      caller.cut();
    };
    const incoming = {req, facts, caller, onThrown};
    guardHandler(() => {
      this.#serve(incoming);
    }, onThrown)();
  }

  #serve(incoming: IncomingRequest): void {
    const {req, facts} = incoming;
    const fault = findFault(req, this.#limits.maxHeaderBytes);
    if (fault) {
      this.#refuse(incoming, fault);
      return;
    }
    const at = this.#readClock();
    if (!this.#deps.admission.isStarting(at)) {
      this.#admit(incoming, at.now);
      return;
    }
    if (this.#drainAdmission.isDraining) {
      this.#refuse(incoming, 'notReady');
      return;
    }
    this.#startupQueue.add(
      facts.deadlineMs ?? DEFAULT_DEADLINE_MS,
      guardHandler(() => {
        this.#admit(incoming, at.now);
      }, incoming.onThrown),
      () => {
        this.#refuse(incoming, 'notReady');
      },
    );
  }

  #admit(incoming: IncomingRequest, arrivedAt: number): void {
    const {req, facts, onThrown} = incoming;
    if (req.destroyed) return;
    const at = this.#readClock();
    const head = {host: req.headers.host ?? '', path: req.url ?? '', facts};
    const admission = this.#deps.admission.admit(head, arrivedAt, at);
    if (!admission.ok) {
      this.#refuse(incoming, admission.error);
      return;
    }
    const {admitted} = admission;
    const {name} = admitted.rule;
    const limitMs = admitted.deadlineAt - at.now;
    if (!this.#drainAdmission.admits(name, limitMs, at.now)) {
      this.#refuse(incoming, 'notReady');
      return;
    }
    const done = (): void => {
      this.#drainAdmission.noteDuration(name, this.#clock.now() - arrivedAt);
    };
    const listener: BodyListener = {
      onWhole: body => {
        this.#run(incoming, admitted, body, done);
      },
      onRefused: error => {
        this.#refuse(incoming, error);
        done();
      },
      onDisconnected: done,
    };
    const guarded = guardHandlers(listener, onThrown);
    readBody(req, this.#limits.maxBodyBytes, limitMs, guarded);
  }

  #run(
    incoming: IncomingRequest,
    admitted: Admitted,
    body: Buffer,
    done: () => void,
  ): void {
    if (this.#bufferedBytes + body.length > this.#settings.maxHeldBytes) {
      this.#refuse(incoming, 'overloaded');
      done();
      return;
    }
    this.#bufferedBytes += body.length;
    const release = (): void => {
      this.#bufferedBytes -= body.length;
      done();
    };
    const {req, facts, onThrown} = incoming;
    const {method = 'GET', url: path = '/', rawHeaders} = req;
    const workspace = admitted.workspace ?? '';
    const fingerprint = fingerprintOf({method, path, workspace, body});
    const partIds = facts.parts.map(({id}) => id);
    const subjects = toRequestSubjects(fingerprint, partIds);
    const content = {method, path, rawHeaders, body, fingerprint, facts};
    const whole = {...admitted, ...content, subjects};
    const start = (): void | Promise<void> =>
      resumesStream(whole)
        ? this.#resume(whole, incoming, release)
        : this.#startExchange(whole, incoming, release);
    void guardHandler(start, err => {
      release();
      onThrown(err);
    })();
  }

  /** A caller that leaves meanwhile has closed its channel. */
  async #resume(
    req: AdmittedRequest,
    incoming: IncomingRequest,
    release: () => void,
  ): Promise<void> {
    const verdict = await resumeStream(req, this.#deps, this.#clock.now());
    if (verdict.ok && incoming.caller.isOpen) {
      this.#startExchange(verdict.req, incoming, release);
      return;
    }
    if (!verdict.ok) this.#refuse(incoming, verdict.error);
    release();
  }

  #startExchange(
    req: AdmittedRequest,
    {caller}: IncomingRequest,
    release: () => void,
  ): void {
    const exchange = new Exchange(req, this.#deps, caller, () => {
      this.#exchanges.delete(exchange);
      release();
    });
    this.#exchanges.add(exchange);
    exchange.start();
  }

  #refuse({caller, facts}: IncomingRequest, error: ErrorKind): void {
    caller.refuse(error);
    this.#deps.counters.noteRefused(error);
    this.#log.info('request refused', {
      request: facts.requestId,
      reason: error,
      status: answerFor(error).status,
      revision: this.#deps.admission.configuration.revision,
    });
  }
}
