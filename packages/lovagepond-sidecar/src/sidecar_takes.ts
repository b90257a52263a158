/**
 * Asks other sidecars for held requests while this one has room.
 */
import {type Clock, type Random} from '@lovagepond/core';
import {type SidecarGate} from './sidecar_gate.js';
import {type SidecarPeers} from './sidecar_peers.js';
import {
  type PeerLoad,
  SidecarTaker,
  type TakerSettings,
} from './sidecar_take.js';

/** What taking needs. */
export interface TakesParts {
  readonly gate: SidecarGate;
  readonly peers: SidecarPeers;
  readonly clock: Clock;
  readonly random: Random;
  /** A server below this load holds nothing back. */
  readonly floorTokens: number;
}

/** Takes one request at a time. */
export class SidecarTakes {
  readonly #settings: TakerSettings;
  readonly #parts: TakesParts;
  readonly #taker: SidecarTaker;
  #asking = false;
  #taken = 0;

  constructor(settings: TakerSettings, parts: TakesParts) {
    this.#settings = settings;
    this.#parts = parts;
    this.#taker = new SidecarTaker(settings, parts.random);
  }

  /** @returns requests taken since the start */
  get taken(): number {
    return this.#taken;
  }

  /** @param now present time; call it at each tick */
  tick(now: number): void {
    if (this.#asking) return;
    const {gate, peers, floorTokens} = this.#parts;
    const roomTokens = gate.takeRoom(now);
    if (roomTokens <= 0) return;
    const loaded = peers.loads.filter(({tokens}) => tokens > floorTokens);
    const {runningTokens} = gate.load(now);
    const victim = this.#taker.chooseVictim(loaded, runningTokens, now);
    if (victim) void this.#take(victim, roomTokens);
  }

  async #take(victim: PeerLoad, roomTokens: number): Promise<void> {
    this.#asking = true;
    const answer = await this.#parts.peers.take(victim, roomTokens);
    this.#asking = false;
    const now = this.#parts.clock.now();
    const count = answer?.attemptIds?.length ?? 0;
    this.#taken += count;
    this.#taker.noteAnswer(count, now);
    if (count === 0) return;
    const until = now + this.#settings.reservationMs;
    this.#parts.gate.reserve(victim.backendServer, answer?.tokens ?? 0, until);
  }
}
