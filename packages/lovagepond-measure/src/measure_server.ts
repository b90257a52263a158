/**
 * One backend server of a run: the real gate and taker of its sidecar before
 * a stand-in engine.
 */
import {Random} from '@lovagepond/core';
import {
  DEFAULT_GATE_SETTINGS,
  DEFAULT_TAKER_SETTINGS,
  type GateAction,
  type Offer,
  type PeerLoad,
  SidecarGate,
  SidecarTaker,
} from '@lovagepond/sidecar';
import {type EngineEvent, MeasureEngine} from './measure_engine.js';
import {
  type Attempt,
  chatKeyOf,
  type FleetSettings,
  HOP_MS,
  type Variant,
  workOfArrival,
} from './measure_fleet_types.js';
import {type VirtualTime} from './virtual_time.js';

const CACHE_EVENT_LAG_MS = 200;
const CACHE_EVENT_LOSS = 0.002;
const TAKE_RETRY_MS = 100;
const REVISION = 1;

/** What a server needs from the rest of the run. */
export interface ServerPort {
  readonly time: VirtualTime;
  readonly settings: FleetSettings;
  readonly variant: Variant;
  findServer(name: string): MeasureServer | undefined;
  /** The engine's load or its gate's queue has changed. */
  changed(server: MeasureServer): void;
}

/** The server. */
export class MeasureServer {
  readonly name: string;
  readonly slot: number;
  readonly gate: SidecarGate;
  readonly engine: MeasureEngine;
  alive = true;
  readonly #port: ServerPort;
  readonly #random: Random;
  readonly #taker: SidecarTaker;
  readonly #open = new Map<string, Attempt>();
  #peers: readonly PeerLoad[] = [];
  #engineEventAt = Infinity;
  #tickAt = Infinity;
  #takePlanned = false;
  #cacheSequence = 0;

  constructor(name: string, slot: number, port: ServerPort) {
    const {settings, variant} = port;
    this.name = name;
    this.slot = slot;
    this.#port = port;
    this.#random = new Random(settings.seed * 1000 + slot);
    const {capacityTokens} = settings.engine;
    const floorTokens = variant.gated ? settings.floorTokens : Infinity;
    this.gate = new SidecarGate(
      {
        ...DEFAULT_GATE_SETTINGS,
        backendServer: name,
        incarnation: name,
        floorTokens,
        capacityTokens: variant.gated ? capacityTokens : Infinity,
      },
      this.#random,
    );
    this.gate.configure({...settings.pool, workspaces: new Map()}, REVISION);
    this.gate.cache.reset();
    this.engine = new MeasureEngine(settings.engine);
    this.#taker = new SidecarTaker(DEFAULT_TAKER_SETTINGS, this.#random);
  }

  /** @param attempt an attempt that arrives now */
  offer(attempt: Attempt): void {
    const {time} = this.#port;
    const {arrival} = attempt;
    this.#open.set(attempt.attemptId, attempt);
    const offer: Offer = {
      requestId: arrival.id,
      attemptId: attempt.attemptId,
      incarnation: this.name,
      workspace: arrival.workspace,
      chat: arrival.chat,
      tokens: workOfArrival(arrival),
      priority: 5,
      deadlineAt: arrival.at + arrival.deadlineMs,
      nonRepeatable: false,
      revision: REVISION,
      firstChoice: attempt.firstChoice,
      warmCandidates: attempt.warmCandidates,
      handOvers: attempt.handOvers,
      poolMeanTokens: 0,
    };
    this.perform(this.gate.offer(offer, time.now));
  }

  /** @param actions what the gate wants done */
  perform(actions: readonly GateAction[]): void {
    for (const action of actions) this.#performOne(action);
    this.#planTick();
    if (actions.length > 0) this.#port.changed(this);
  }

  /** @param peers loads of the others as the digest shows them */
  setPeers(peers: readonly PeerLoad[]): void {
    const {floorTokens} = this.#port.settings;
    this.#peers = peers.filter(({tokens}) => tokens > floorTokens);
    this.planTake(0);
  }

  /** Runs what depends on time alone. */
  tick(): void {
    if (this.alive) this.perform(this.gate.tick(this.#port.time.now));
  }

  /** The process is gone with everything in it. */
  crash(): void {
    this.alive = false;
    for (const attempt of this.#open.values()) {
      this.#port.time.after(HOP_MS, () => attempt.owner.lost(attempt));
    }
    this.#open.clear();
    this.#port.changed(this);
  }

  /** @param limitMs time for what runs and waits here */
  drain(limitMs: number): void {
    this.perform(this.gate.startDraining(this.#port.time.now, limitMs));
  }

  /**
   * @param chatKey a chat whose KV cache was brought here
   * @param tokens its size
   */
  importCache(chatKey: string, tokens: number): void {
    if (!this.alive || this.engine.cache.peek(chatKey) >= tokens) return;
    this.engine.cache.put(chatKey, tokens);
    this.#publishCache(chatKey, tokens);
  }

  /** Asks for a held request after a pause, when there is room here. */
  planTake(delayMs: number): void {
    if (!this.#port.variant.take || this.#takePlanned) return;
    this.#takePlanned = true;
    this.#port.time.after(delayMs, () => {
      this.#takePlanned = false;
      if (this.alive) this.#take();
    });
  }

  #performOne(action: GateAction): void {
    const attempt = this.#open.get(action.attemptId);
    if (!attempt) return;
    if (action.kind === 'dispatch') this.#dispatch(attempt);
    else if (action.kind === 'accept') this.#observe(attempt);
    else if (action.kind === 'point') this.#point(attempt);
    else if (action.kind === 'refuse') {
      this.#open.delete(action.attemptId);
      const {failure, pointer} = action;
      this.#observe(attempt);
      this.#port.time.after(HOP_MS, () =>
        attempt.owner.refused(attempt, failure.kind, pointer),
      );
    }
  }

  #observe(attempt: Attempt): void {
    const {time} = this.#port;
    const {runningTokens, queuedTokens} = this.gate.load(time.now);
    const tokens = runningTokens + queuedTokens;
    time.after(HOP_MS, () => attempt.owner.observed(this.name, tokens));
  }

  #dispatch(attempt: Attempt): void {
    const {arrival} = attempt;
    const {promptTokens, contextTokens, answerTokens} = arrival;
    const chatKey = chatKeyOf(arrival);
    const id = attempt.attemptId;
    const run = {id, chatKey, promptTokens, contextTokens, answerTokens};
    const {now} = this.#port.time;
    this.#applyEvents(this.engine.advance(now));
    this.engine.start(run, now);
    this.#planEngine();
  }

  /** Plans the next event of the engine. */
  #planEngine(): void {
    const at = this.engine.nextEventAt();
    if (at === Infinity || at === this.#engineEventAt) return;
    this.#engineEventAt = at;
    this.#port.time.at(at, () => {
      if (this.#engineEventAt !== at) return;
      this.#engineEventAt = Infinity;
      if (!this.alive) return;
      this.#applyEvents(this.engine.advance(this.#port.time.now));
      this.#planEngine();
    });
  }

  #applyEvents(events: readonly EngineEvent[]): void {
    for (const event of events) {
      const attempt = this.#open.get(event.run.id);
      if (!attempt) continue;
      if (event.kind === 'firstToken') {
        attempt.streaming = true;
        attempt.owner.firstToken(attempt, event.cachedTokens);
      } else {
        this.#finish(attempt, event);
      }
    }
  }

  #finish(attempt: Attempt, {run}: EngineEvent): void {
    attempt.owner.done(attempt);
    this.#publishCache(run.chatKey, run.promptTokens + run.answerTokens);
    for (const chatKey of this.engine.takeEvicted()) {
      this.#publishCache(chatKey, 0);
    }
    const {now} = this.#port.time;
    const end = {kind: 'done'} as const;
    this.perform(this.gate.finish(attempt.attemptId, end, now));
    this.#open.delete(attempt.attemptId);
    this.planTake(0);
  }

  /** The engine's cache events come late, and some never. */
  #publishCache(chatKey: string, tokens: number): void {
    const sequence = this.#cacheSequence++;
    const {time, variant} = this.#port;
    const lost = !variant.exact && this.#random.next() < CACHE_EVENT_LOSS;
    if (lost) return;
    const [workspace = '', chat = ''] = chatKey.split('\u0000');
    time.after(variant.exact ? 0 : CACHE_EVENT_LAG_MS, () => {
      this.gate.cache.apply(sequence, workspace, chat, tokens);
    });
  }

  #point({firstChoice, arrival}: Attempt): void {
    const {time, variant} = this.#port;
    if (!variant.pointers) return;
    time.after(HOP_MS, () => {
      const keeper = this.#port.findServer(firstChoice);
      if (!keeper?.alive) return;
      const {workspace, chat} = arrival;
      keeper.gate.pointers.put(workspace, chat, this.name, time.now);
    });
  }

  #planTick(): void {
    const at = this.gate.nextTickAt();
    if (at === Infinity || at >= this.#tickAt) return;
    this.#tickAt = at;
    this.#port.time.at(at, () => {
      if (this.#tickAt !== at) return;
      this.#tickAt = Infinity;
      this.tick();
    });
  }

  #take(): void {
    const {time} = this.#port;
    const room = this.gate.roomForTake(time.now);
    if (room <= 0) return;
    const {runningTokens} = this.gate.load(time.now);
    const chosen = this.#taker.chooseVictim(
      this.#peers,
      runningTokens,
      time.now,
    );
    const victim = chosen && this.#port.findServer(chosen.backendServer);
    if (!victim) {
      if (this.#peers.length > 0) this.planTake(TAKE_RETRY_MS);
      return;
    }
    time.after(HOP_MS, () => {
      const tokens = victim.alive ? victim.#handOver(this.name, room) : 0;
      time.after(HOP_MS, () => this.#noteTaken(victim.name, tokens));
    });
  }

  #handOver(taker: string, roomTokens: number): number {
    const {now} = this.#port.time;
    const {tokens, actions} = this.gate.handOver(taker, roomTokens, now);
    this.perform(actions);
    return tokens;
  }

  #noteTaken(victim: string, tokens: number): void {
    const {now} = this.#port.time;
    const {reservationMs, takeIntervalMs} = DEFAULT_TAKER_SETTINGS;
    this.#taker.noteAnswer(tokens > 0 ? 1 : 0, now);
    if (tokens > 0) this.gate.reserve(victim, tokens, now + reservationMs);
    this.planTake(tokens > 0 ? takeIntervalMs : TAKE_RETRY_MS);
  }
}
