/**
 * The path of one request from its head to its exchange: admission, its body,
 * and the stream that it resumes.
 */
import {type IncomingMessage} from 'node:http';
import {
  answerFor,
  type CallerLimits,
  type ErrorKind,
  toRequestSubjects,
} from '@lovagepond/core';
import {BodyBudget} from '@lovagepond/process/http_body_budget';
import {fingerprintOf} from '@lovagepond/router/quarantine';
import {type GatewayAdmission} from './gateway_admission.js';
import {type ClockReading, readClock} from './gateway_authority.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type GatewayDrainAdmission} from './gateway_drain_admission.js';
import {Exchange} from './gateway_exchange.js';
import {
  type AdmittedRequest,
  type ExchangeDependencies,
} from './gateway_exchange_types.js';
import {type RequestFacts} from './gateway_headers.js';
import {findFault} from './gateway_malformed_requests.js';
import {type OpenRequest} from './gateway_open_requests.js';
import {type BodyListener, readBody} from './gateway_request_body.js';
import {
  guardHandler,
  guardHandlers,
  type OnThrown,
} from './gateway_request_guard.js';
import {SendConditions} from './gateway_send_conditions.js';
import {StartupQueue} from './gateway_startup_queue.js';
import {resumesStream, resumeStream} from './gateway_stream_resumption.js';
import {type GatewayStreams} from './gateway_streams.js';

/** Deadline that the startup queue assumes for requests without one, ms. */
const DEFAULT_DEADLINE_MS = 1_000;

/** Limits used until the configuration sets them. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

export interface RequestPathDependencies extends Omit<
  ExchangeDependencies,
  'conditions' | 'durations'
> {
  readonly admission: GatewayAdmission;
  readonly drainAdmission: GatewayDrainAdmission;
  readonly streams: GatewayStreams;
  /** Limit on the memory of all request bodies, bytes. */
  readonly maxHeldBytes: number;
  /** Limit on requests whose body is complete; further ones are rejected. */
  readonly maxRequests: number;
}

/** A request whose head has arrived. */
export interface IncomingRequest {
  readonly req: IncomingMessage;
  readonly facts: RequestFacts;
  readonly caller: CallerChannel;
  /** The entry that is described when the process ends before the request. */
  readonly open: OpenRequest;
  /** Ends the request after an unexpected exception. */
  readonly onThrown: OnThrown;
}

type Admitted = Extract<
  ReturnType<GatewayAdmission['admit']>,
  {ok: true}
>['admitted'];

/** What is known of an admitted request before its body. */
type DecidedRequest = Admitted & Pick<AdmittedRequest, 'facts'>;

/** An admitted request whose body is not complete. */
interface ReceivedRequest {
  readonly admitted: DecidedRequest;
  refuse: (error: ErrorKind) => void;
}

export class RequestPath {
  readonly #deps: RequestPathDependencies;
  readonly #exchangeDeps: ExchangeDependencies;
  readonly #startupQueue = new StartupQueue();
  /** Exchanges in flight. */
  readonly #exchanges = new Set<Exchange>();
  /** Admitted requests whose body is not complete. */
  readonly #receiving = new Set<ReceivedRequest>();
  readonly #bodies: BodyBudget;
  #limits = DEFAULT_LIMITS;
  #whole = 0;

  /** @param deps dependencies shared by all requests */
  constructor(deps: RequestPathDependencies) {
    this.#deps = deps;
    this.#bodies = new BodyBudget(deps.maxHeldBytes);
    this.#exchangeDeps = {
      ...deps,
      conditions: new SendConditions(deps),
      durations: deps.drainAdmission,
    };
  }

  /** Memory of the bodies of all requests, bytes. */
  get heldBodyBytes(): number {
    return this.#bodies.heldBytes;
  }

  /** @param limits limits for callers */
  useLimits(limits: CallerLimits): void {
    this.#limits = limits;
  }

  /** Rejects the requests that wait for the configuration. */
  refuseQueued(): void {
    this.#startupQueue.refuseAll();
  }

  /**
   * Rejects the requests that wait for the rest of their body and can't end
   * before the process does.
   */
  refuseLate(): void {
    const {drainAdmission, clock} = this.#deps;
    const now = clock.now();
    for (const {admitted, refuse} of [...this.#receiving]) {
      if (!drainAdmission.admits(admitted, now)) refuse('notReady');
    }
  }

  /** Decides on the requests that wait for the configuration. */
  retryQueued(): void {
    this.#startupQueue.retryAll();
  }

  /** Aborts the requests that are quarantined by now. */
  abortQuarantined(): void {
    for (const exchange of [...this.#exchanges]) exchange.abortQuarantined();
  }

  /** @param incoming a request whose head has arrived */
  serve(incoming: IncomingRequest): void {
    const {req, facts} = incoming;
    const fault = findFault(req, this.#limits.maxHeaderBytes);
    if (fault) {
      this.#refuse(incoming, fault);
      return;
    }
    const at = readClock(this.#deps.clock);
    if (!this.#deps.admission.isStarting(at)) {
      this.#admit(incoming, at.now);
      return;
    }
    if (this.#deps.drainAdmission.isDraining) {
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
    const {req, onThrown} = incoming;
    if (req.destroyed) return;
    const at = readClock(this.#deps.clock);
    const {revision} = this.#deps.admission.configuration;
    const admitted = this.#decide(incoming, arrivedAt, at);
    if (!admitted) return;
    const received: ReceivedRequest = {
      admitted: {...admitted, facts: incoming.facts},
      refuse: () => undefined,
    };
    this.#receiving.add(received);
    const listener: BodyListener = {
      onWhole: (body, release) => {
        this.#receiving.delete(received);
        const run = (): void => {
          const still = this.#isCurrent(revision)
            ? admitted
            : this.#decide(incoming, arrivedAt, readClock(this.#deps.clock));
          if (still) this.#run(incoming, still, body, release);
          else release();
        };
        guardHandler(run, err => {
          release();
          onThrown(err);
        })();
      },
      onRefused: error => {
        this.#receiving.delete(received);
        this.#refuse(incoming, error);
      },
      onDisconnected: () => {
        this.#receiving.delete(received);
      },
    };
    const guarded = guardHandlers(listener, onThrown);
    const limitMs = admitted.deadlineAt - at.now;
    const {maxBodyBytes: maxBytes} = this.#limits;
    const limits = {maxBytes, budget: this.#bodies};
    received.refuse = readBody(req, limits, limitMs, guarded);
  }

  /** Refuses the request unless the configuration and the time left allow it. */
  #decide(
    incoming: IncomingRequest,
    arrivedAt: number,
    at: ClockReading,
  ): Admitted | undefined {
    const {req, facts} = incoming;
    const {admission, drainAdmission} = this.#deps;
    const head = {host: req.headers.host ?? '', path: req.url ?? '', facts};
    const decision = admission.admit(head, arrivedAt, at);
    if (!decision.ok) {
      this.#refuse(incoming, decision.error);
      return undefined;
    }
    const {admitted} = decision;
    if (drainAdmission.admits({...admitted, facts}, at.now)) return admitted;
    this.#refuse(incoming, 'notReady');
    return undefined;
  }

  /** A slow body may take longer than a decision on its head holds. */
  #isCurrent(revision: number): boolean {
    const {admission, clock} = this.#deps;
    if (admission.configuration.revision !== revision) return false;
    return !admission.isStarting(readClock(clock));
  }

  #run(
    incoming: IncomingRequest,
    admitted: Admitted,
    body: Buffer,
    releaseBody: () => void,
  ): void {
    if (this.#whole >= this.#deps.maxRequests) {
      releaseBody();
      this.#refuse(incoming, 'overloaded');
      return;
    }
    this.#whole += 1;
    let isHeld = true;
    const release = (): void => {
      if (isHeld) this.#whole -= 1;
      isHeld = false;
      releaseBody();
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
    const verdict = await resumeStream(req, this.#deps, this.#deps.clock.now());
    if (verdict.ok && incoming.caller.isOpen) {
      this.#startExchange(verdict.req, incoming, release);
      return;
    }
    if (!verdict.ok) this.#refuse(incoming, verdict.error);
    release();
  }

  #startExchange(
    req: AdmittedRequest,
    {caller, open}: IncomingRequest,
    release: () => void,
  ): void {
    const exchange = new Exchange(req, this.#exchangeDeps, caller, () => {
      this.#exchanges.delete(exchange);
      release();
    });
    this.#exchanges.add(exchange);
    open.exchange = exchange;
    exchange.start();
  }

  #refuse({caller, facts}: IncomingRequest, error: ErrorKind): void {
    caller.refuse(error);
    this.#deps.counters.noteRefused(error);
    this.#deps.log.info('request refused', {
      request: facts.requestId,
      reason: error,
      status: answerFor(error).status,
      revision: this.#deps.admission.configuration.revision,
    });
  }
}
