/**
 * Flap damping of backend servers.
 *
 * Each flap adds to a penalty that decays exponentially. A server is held back
 * once its penalty exceeds one threshold and released when it falls below a
 * lower one. A ceiling on the penalty limits how long a server that became
 * stable is held back after its last flap.
 */

export interface FlapSettings {
  /** Half-life of the penalty. */
  readonly halfLifeMs: number;
  /** Limit of the time that a server is held back after its last flap. */
  readonly maxHoldMs: number;
}

/** Holds a server back from its third rapid flap, for at most a minute. */
const FLAP_DEFAULTS: FlapSettings = {
  halfLifeMs: 15_000,
  maxHoldMs: 60_000,
};

const FLAP_PENALTY = 1_000;
const HOLD_THRESHOLD = 2_500;
const RELEASE_THRESHOLD = 1_000;

/** A lower penalty is removed. */
const NEGLIGIBLE = 50;

interface Penalty {
  value: number;
  at: number;
  held: boolean;
}

/** Penalties of backend servers by name. */
export class FlapDamper {
  readonly #settings: FlapSettings;
  readonly #ceiling: number;
  readonly #penalties = new Map<string, Penalty>();

  constructor(settings: FlapSettings = FLAP_DEFAULTS) {
    this.#settings = settings;
    const halvings = settings.maxHoldMs / settings.halfLifeMs;
    this.#ceiling = RELEASE_THRESHOLD * 2 ** halvings;
  }

  /**
   * Adds a flap of a server.
   *
   * @param name the server
   * @param now monotonic milliseconds
   */
  add(name: string, now: number): void {
    const known = this.#penalties.get(name);
    const decayed = known ? this.#decay(known, now) : 0;
    const value = Math.min(this.#ceiling, decayed + FLAP_PENALTY);
    const held = (known?.held ?? false) || value > HOLD_THRESHOLD;
    this.#penalties.set(name, {value, at: now, held});
  }

  /**
   * @param name a server
   * @param now monotonic milliseconds
   * @returns true while the server must be held back
   */
  isHeld(name: string, now: number): boolean {
    const known = this.#penalties.get(name);
    if (!known?.held) return false;
    known.held = this.#decay(known, now) >= RELEASE_THRESHOLD;
    return known.held;
  }

  /**
   * Removes negligible penalties.
   *
   * @param now monotonic milliseconds
   */
  sweep(now: number): void {
    for (const [name, penalty] of this.#penalties) {
      if (this.#decay(penalty, now) < NEGLIGIBLE) this.#penalties.delete(name);
    }
  }

  #decay(penalty: Penalty, now: number): number {
    const halvings = (now - penalty.at) / this.#settings.halfLifeMs;
    return penalty.value * 2 ** -halvings;
  }
}
