/**
 * One backend server behind the sidecar's real gate, with a fake engine that
 * records what it runs, how often it ran each request, and the outcomes.
 */
import {type Failure, Random} from '@lovagepond/core';
import {
  DEFAULT_GATE_SETTINGS,
  type GateAction,
  type GateSettings,
  type Offer,
  SidecarGate,
} from '@lovagepond/sidecar';
import {type Timeline} from './timeline.js';

/** Fixed properties of one server of a scenario. */
export interface GatedServerOptions {
  readonly name: string;
  /** Derived from the name by default. */
  readonly incarnation?: string;
  readonly floorTokens: number;
  /** Prompt and answer tokens of one request processed per second. */
  readonly tokensPerSecond: number;
  readonly seed: number;
}

/** A refusal as sent to the router. */
export interface RefusalRecord {
  readonly attemptId: string;
  readonly failure: Failure;
  readonly pointer: string;
  /** Virtual time of the refusal, milliseconds. */
  readonly at: number;
}

type ActionHandlers = {
  readonly [Kind in GateAction['kind']]: (
    action: Extract<GateAction, {kind: Kind}>,
  ) => void;
};

const MS_PER_SECOND = 1_000;
const TICK_MS = 50;

/** A gate, its fake engine, and a record of both. */
export class GatedServer {
  readonly name: string;
  readonly gate: SidecarGate;
  /** Request id to number of runs. */
  readonly runs = new Map<string, number>();
  readonly refusals: RefusalRecord[] = [];
  readonly completed = new Set<string>();
  readonly cancelled = new Set<string>();
  readonly claims: string[] = [];
  readonly releasedClaims: string[] = [];
  /** Called with each refusal. */
  onRefuse: (refusal: RefusalRecord) => void = () => undefined;
  /** Called after each dispatch. */
  onDispatch: () => void = () => undefined;
  /** Called when a run has completed. */
  onComplete: (offer: Offer) => void = () => undefined;
  /** Called when the gate requests a claim; grants it by default. */
  onClaim: (offer: Offer) => void = offer => {
    this.grant(offer.attemptId);
  };
  #stalled = false;
  readonly #offers = new Map<string, Offer>();
  readonly #running = new Map<string, number>();
  readonly #timeline: Timeline;
  readonly #tokensPerSecond: number;
  readonly #handlers: ActionHandlers;

  constructor(options: GatedServerOptions, timeline: Timeline) {
    const {name, floorTokens, tokensPerSecond, seed} = options;
    this.name = name;
    this.#timeline = timeline;
    this.#tokensPerSecond = tokensPerSecond;
    const settings: GateSettings = {
      ...DEFAULT_GATE_SETTINGS,
      backendServer: name,
      incarnation: options.incarnation ?? `${name}-1`,
      floorTokens,
    };
    this.gate = new SidecarGate(settings, new Random(seed));
    this.#handlers = this.#makeHandlers();
    timeline.repeat(TICK_MS, () => {
      this.perform(this.gate.tick(timeline.now));
    });
  }

  /** Total tokens of the running attempts. */
  get runningTokens(): number {
    let tokens = 0;
    for (const attemptTokens of this.#running.values()) tokens += attemptTokens;
    return tokens;
  }

  /** Ids of the running attempts. */
  get runningAttempts(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** Number of distinct attempts that arrived. */
  get offerCount(): number {
    return this.#offers.size;
  }

  /** Makes the engine hang: no current or later run completes. */
  stall(): void {
    this.#stalled = true;
  }

  /** @param offer an attempt that arrives from a router */
  offer(offer: Offer): void {
    this.#offers.set(offer.attemptId, offer);
    this.perform(this.gate.offer(offer, this.#timeline.now));
  }

  /** @param attemptId the attempt whose claim the ledger granted */
  grant(attemptId: string): void {
    this.perform(this.gate.claimGranted(attemptId, this.#timeline.now));
  }

  /** @param attemptId a dispatched attempt that the engine completed */
  finish(attemptId: string): void {
    if (!this.#running.delete(attemptId)) return;
    const offer = this.#offerOf(attemptId);
    this.completed.add(offer.requestId);
    this.onComplete(offer);
    const {now} = this.#timeline;
    this.perform(this.gate.finish(attemptId, {kind: 'done'}, now));
  }

  /** @param actions actions of the gate to carry out */
  perform(actions: readonly GateAction[]): void {
    for (const action of actions) {
      this.#handlers[action.kind](action as never);
    }
  }

  /**
   * @param requestId id of a request
   * @returns number of times this server ran the request
   */
  runsOf(requestId: string): number {
    return this.runs.get(requestId) ?? 0;
  }

  #offerOf(attemptId: string): Offer {
    const offer = this.#offers.get(attemptId);
    if (!offer) throw new Error(`${this.name} never received ${attemptId}`);
    return offer;
  }

  #makeHandlers(): ActionHandlers {
    return {
      accept: () => undefined,
      refuse: ({attemptId, failure, pointer}) => {
        const {now: at} = this.#timeline;
        const refusal = {attemptId, failure, pointer, at};
        this.refusals.push(refusal);
        this.onRefuse(refusal);
      },
      rejectDuplicate: () => undefined,
      claim: ({attemptId}) => {
        this.claims.push(attemptId);
        this.onClaim(this.#offerOf(attemptId));
      },
      dispatch: ({attemptId}) => {
        this.#start(attemptId);
      },
      cancel: ({attemptId}) => {
        this.cancelled.add(attemptId);
      },
      releaseClaim: ({attemptId}) => {
        this.releasedClaims.push(attemptId);
      },
      point: () => undefined,
    };
  }

  #start(attemptId: string): void {
    const {requestId, tokens} = this.#offerOf(attemptId);
    this.runs.set(requestId, this.runsOf(requestId) + 1);
    this.#running.set(attemptId, tokens);
    this.onDispatch();
    const durationMs = (tokens / this.#tokensPerSecond) * MS_PER_SECOND;
    this.#timeline.schedule(durationMs, () => {
      if (!this.#stalled) this.finish(attemptId);
    });
  }
}
