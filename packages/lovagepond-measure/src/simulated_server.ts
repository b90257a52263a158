/**
 * One backend server of the placement simulation: the production gate and
 * taker of its sidecar in front of a simulated engine.
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
import {
  type Attempt,
  chatKeyOf,
  HOP_MS,
  type PlacementSimulationSettings,
  type PlacementVariant,
  workOfArrival,
} from './placement_simulation_types.js';
import {type EngineEvent, SimulatedEngine} from './simulated_engine.js';
import {type VirtualTime} from './virtual_time.js';

const CACHE_EVENT_LAG_MS = 200;
const CACHE_EVENT_LOSS = 0.002;
const TAKE_RETRY_MS = 100;
const REVISION = 1;

export interface SimulatedServerDependencies {
  readonly time: VirtualTime;
  readonly settings: PlacementSimulationSettings;
  readonly variant: PlacementVariant;
  findServer(name: string): SimulatedServer | undefined;
  /** Called after a change of the engine's load or the gate's queue. */
  changed(server: SimulatedServer): void;
}

export class SimulatedServer {
  readonly name: string;
  readonly slot: number;
  readonly gate: SidecarGate;
  readonly engine: SimulatedEngine;
  alive = true;
  readonly #deps: SimulatedServerDependencies;
  readonly #random: Random;
  readonly #taker: SidecarTaker;
  readonly #openAttempts = new Map<string, Attempt>();
  #peers: readonly PeerLoad[] = [];
  #engineEventAt = Infinity;
  #tickAt = Infinity;
  #takeScheduled = false;
  #cacheSequence = 0;

  constructor(name: string, slot: number, deps: SimulatedServerDependencies) {
    const {settings, variant} = deps;
    this.name = name;
    this.slot = slot;
    this.#deps = deps;
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
    this.engine = new SimulatedEngine(settings.engine);
    this.#taker = new SidecarTaker(DEFAULT_TAKER_SETTINGS, this.#random);
  }

  /** @param attempt an attempt that arrives now */
  offer(attempt: Attempt): void {
    const {time} = this.#deps;
    const {arrival} = attempt;
    this.#openAttempts.set(attempt.attemptId, attempt);
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

  /** @param actions the gate's decisions */
  perform(actions: readonly GateAction[]): void {
    for (const action of actions) this.#performOne(action);
    this.#scheduleTick();
    if (actions.length > 0) this.#deps.changed(this);
  }

  /** @param peers loads of other servers from the digest */
  setPeers(peers: readonly PeerLoad[]): void {
    const {floorTokens} = this.#deps.settings;
    this.#peers = peers.filter(({tokens}) => tokens > floorTokens);
    this.scheduleTake(0);
  }

  /** Runs the gate's timers. */
  tick(): void {
    if (this.alive) this.perform(this.gate.tick(this.#deps.time.now));
  }

  /** Crashes the process and loses all open attempts. */
  crash(): void {
    this.alive = false;
    for (const attempt of this.#openAttempts.values()) {
      this.#deps.time.after(HOP_MS, () => attempt.owner.lost(attempt));
    }
    this.#openAttempts.clear();
    this.#deps.changed(this);
  }

  /** @param limitMs time to finish running and queued requests */
  drain(limitMs: number): void {
    this.perform(this.gate.startDraining(this.#deps.time.now, limitMs));
  }

  /**
   * @param chatKey a chat whose KV cache was moved here
   * @param tokens size of the cache
   */
  importCache(chatKey: string, tokens: number): void {
    if (!this.alive || this.engine.cache.peek(chatKey) >= tokens) return;
    this.engine.cache.put(chatKey, tokens);
    this.#publishCache(chatKey, tokens);
  }

  /** Takes a queued request from a peer after a delay, if there is room. */
  scheduleTake(delayMs: number): void {
    if (!this.#deps.variant.take || this.#takeScheduled) return;
    this.#takeScheduled = true;
    this.#deps.time.after(delayMs, () => {
      this.#takeScheduled = false;
      if (this.alive) this.#take();
    });
  }

  #performOne(action: GateAction): void {
    const attempt = this.#openAttempts.get(action.attemptId);
    if (!attempt) return;
    if (action.kind === 'dispatch') this.#dispatch(attempt);
    else if (action.kind === 'accept') this.#reportLoad(attempt);
    else if (action.kind === 'point') this.#storePointer(attempt);
    else if (action.kind === 'refuse') {
      this.#openAttempts.delete(action.attemptId);
      const {failure, pointer} = action;
      this.#reportLoad(attempt);
      this.#deps.time.after(HOP_MS, () =>
        attempt.owner.refused(attempt, failure.kind, pointer),
      );
    }
  }

  #reportLoad(attempt: Attempt): void {
    const {time} = this.#deps;
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
    const {now} = this.#deps.time;
    this.#applyEvents(this.engine.advance(now));
    this.engine.start(run, now);
    this.#scheduleEngine();
  }

  /** Schedules the next event of the engine. */
  #scheduleEngine(): void {
    const at = this.engine.nextEventAt();
    if (at === Infinity || at === this.#engineEventAt) return;
    this.#engineEventAt = at;
    this.#deps.time.at(at, () => {
      if (this.#engineEventAt !== at) return;
      this.#engineEventAt = Infinity;
      if (!this.alive) return;
      this.#applyEvents(this.engine.advance(this.#deps.time.now));
      this.#scheduleEngine();
    });
  }

  #applyEvents(events: readonly EngineEvent[]): void {
    for (const event of events) {
      const attempt = this.#openAttempts.get(event.run.id);
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
    const {now} = this.#deps.time;
    const end = {kind: 'done'} as const;
    this.perform(this.gate.finish(attempt.attemptId, end, now));
    this.#openAttempts.delete(attempt.attemptId);
    this.scheduleTake(0);
  }

  /** Publishes a cache event, which is delayed and may be lost. */
  #publishCache(chatKey: string, tokens: number): void {
    const sequence = this.#cacheSequence++;
    const {time, variant} = this.#deps;
    const lost = !variant.exact && this.#random.next() < CACHE_EVENT_LOSS;
    if (lost) return;
    const [workspace = '', chat = ''] = chatKey.split('\u0000');
    time.after(variant.exact ? 0 : CACHE_EVENT_LAG_MS, () => {
      this.gate.cache.apply(sequence, workspace, chat, tokens);
    });
  }

  #storePointer({firstChoice, arrival}: Attempt): void {
    const {time, variant} = this.#deps;
    if (!variant.pointers) return;
    time.after(HOP_MS, () => {
      const pointerHolder = this.#deps.findServer(firstChoice);
      if (!pointerHolder?.alive) return;
      const {workspace, chat} = arrival;
      pointerHolder.gate.pointers.put(workspace, chat, this.name, time.now);
    });
  }

  #scheduleTick(): void {
    const at = this.gate.nextTickAt();
    if (at === Infinity || at >= this.#tickAt) return;
    this.#tickAt = at;
    this.#deps.time.at(at, () => {
      if (this.#tickAt !== at) return;
      this.#tickAt = Infinity;
      this.tick();
    });
  }

  #take(): void {
    const {time} = this.#deps;
    const room = this.gate.roomForTake(time.now);
    if (room <= 0) return;
    const {runningTokens} = this.gate.load(time.now);
    const chosen = this.#taker.chooseVictim(
      this.#peers,
      runningTokens,
      time.now,
    );
    const victim = chosen && this.#deps.findServer(chosen.backendServer);
    if (!victim) {
      if (this.#peers.length > 0) this.scheduleTake(TAKE_RETRY_MS);
      return;
    }
    time.after(HOP_MS, () => {
      const tokens = victim.alive ? victim.#handOver(this.name, room) : 0;
      time.after(HOP_MS, () => this.#recordTake(victim.name, tokens));
    });
  }

  #handOver(taker: string, roomTokens: number): number {
    const {now} = this.#deps.time;
    const {tokens, actions} = this.gate.handOver(taker, roomTokens, now);
    this.perform(actions);
    return tokens;
  }

  #recordTake(victim: string, tokens: number): void {
    const {now} = this.#deps.time;
    const {reservationMs, takeIntervalMs} = DEFAULT_TAKER_SETTINGS;
    this.#taker.noteAnswer(tokens > 0 ? 1 : 0, now);
    if (tokens > 0) this.gate.reserve(victim, tokens, now + reservationMs);
    this.scheduleTake(tokens > 0 ? takeIntervalMs : TAKE_RETRY_MS);
  }
}
