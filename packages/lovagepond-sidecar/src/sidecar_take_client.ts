/**
 * Takes held requests from other sidecars while this one has free capacity.
 */
import {type Clock, type Random} from '@lovagepond/core';
import {type SidecarGate} from './sidecar_gate.js';
import {type SidecarPeers} from './sidecar_peers.js';
import {
  type PeerLoad,
  SidecarTaker,
  type TakerSettings,
} from './sidecar_take.js';

export interface TakeClientDependencies {
  readonly gate: SidecarGate;
  readonly peers: SidecarPeers;
  readonly clock: Clock;
  readonly random: Random;
  /** A server below this load has no held requests. */
  readonly floorTokens: number;
}

/** Takes one request at a time from other sidecars. */
export class SidecarTakeClient {
  readonly #settings: TakerSettings;
  readonly #deps: TakeClientDependencies;
  readonly #taker: SidecarTaker;
  #isRequestPending = false;
  #taken = 0;

  constructor(settings: TakerSettings, deps: TakeClientDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#taker = new SidecarTaker(settings, deps.random);
  }

  /** @returns number of requests taken since the start */
  get taken(): number {
    return this.#taken;
  }

  /**
   * Takes a request from another sidecar if a take is due; called at each tick.
   *
   * @param now current time
   */
  tick(now: number): void {
    if (this.#isRequestPending) return;
    const {gate, peers, floorTokens} = this.#deps;
    const roomTokens = gate.roomForTake(now);
    if (roomTokens <= 0) return;
    const loaded = peers.loads.filter(({tokens}) => tokens > floorTokens);
    const {runningTokens} = gate.load(now);
    const victim = this.#taker.chooseVictim(loaded, runningTokens, now);
    if (victim) void this.#take(victim, roomTokens);
  }

  async #take(victim: PeerLoad, roomTokens: number): Promise<void> {
    this.#isRequestPending = true;
    const answer = await this.#deps.peers.take(victim, roomTokens);
    this.#isRequestPending = false;
    const now = this.#deps.clock.now();
    const count = answer?.attemptIds?.length ?? 0;
    this.#taken += count;
    this.#taker.noteAnswer(count, now);
    if (count === 0) return;
    const until = now + this.#settings.reservationMs;
    this.#deps.gate.reserve(victim.backendServer, answer?.tokens ?? 0, until);
  }
}
