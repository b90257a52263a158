/**
 * One backend server behind the sidecar's real gate, with an engine that only
 * counts: what runs, how often each request was run, what came of it.
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

/** What is fixed about one server of a scenario. */
export interface GatedServerOptions {
  readonly name: string;
  /** Named after the server when left out. */
  readonly incarnation?: string;
  readonly floorTokens: number;
  /** Prompt and answer tokens that one request gets done in a second. */
  readonly tokensPerSecond: number;
  readonly seed: number;
}

/** A refusal as the router saw it. */
export interface RefusalRecord {
  readonly attemptId: string;
  readonly failure: Failure;
  readonly pointer: string;
  /** When, in virtual milliseconds. */
  readonly at: number;
}

type ActionHandlers = {
  readonly [Kind in GateAction['kind']]: (
    action: Extract<GateAction, {kind: Kind}>,
  ) => void;
};

const MS_PER_SECOND = 1_000;
const TICK_MS = 50;

/** A gate, its engine, and a record of both. */
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
  /** Called when a run has ended well. */
  onComplete: (offer: Offer) => void = () => undefined;
  /** Called when the gate wants a claim; grants by default. */
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

  /** Tokens that the engine really runs now. */
  get runningTokens(): number {
    let tokens = 0;
    for (const attemptTokens of this.#running.values()) tokens += attemptTokens;
    return tokens;
  }

  /** Attempts that the engine runs now. */
  get runningAttempts(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** How many different attempts have arrived. */
  get offerCount(): number {
    return this.#offers.size;
  }

  /** Nothing that runs now or later ends any more. */
  stall(): void {
    this.#stalled = true;
  }

  /** @param offer an attempt as it arrives from a router */
  offer(offer: Offer): void {
    this.#offers.set(offer.attemptId, offer);
    this.perform(this.gate.offer(offer, this.#timeline.now));
  }

  /** @param attemptId a claim that the ledger granted */
  grant(attemptId: string): void {
    this.perform(this.gate.claimGranted(attemptId, this.#timeline.now));
  }

  /** @param attemptId a dispatched attempt that the engine has done */
  finish(attemptId: string): void {
    if (!this.#running.delete(attemptId)) return;
    const offer = this.#offerOf(attemptId);
    this.completed.add(offer.requestId);
    this.onComplete(offer);
    const {now} = this.#timeline;
    this.perform(this.gate.finish(attemptId, {kind: 'done'}, now));
  }

  /** @param actions what the gate wants done */
  perform(actions: readonly GateAction[]): void {
    for (const action of actions) {
      this.#handlers[action.kind](action as never);
    }
  }

  /**
   * @param requestId a request
   * @returns how often this server ran it
   */
  runsOf(requestId: string): number {
    return this.runs.get(requestId) ?? 0;
  }

  #offerOf(attemptId: string): Offer {
    const offer = this.#offers.get(attemptId);
    if (!offer) throw new Error(`${this.name} never saw ${attemptId}`);
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
      rejectCopy: () => undefined,
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
