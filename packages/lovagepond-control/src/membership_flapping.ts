/**
 * Damping of backend servers that come and go.
 *
 * Each flap adds to a penalty that decays by half in a set time. Above one
 * threshold the server is held back, below a lower one it is let in again. The
 * penalty has a ceiling, so that a server that became good is never held back
 * longer than a set time after its last flap.
 */

/** Settings of the damping. */
export interface FlapSettings {
  /** The penalty halves in this time. */
  readonly halfLifeMs: number;
  /** Longest time a server is held back after its last flap. */
  readonly maxHoldMs: number;
}

/** Damps from the third flap in quick succession, for a minute at most. */
const FLAP_DEFAULTS: FlapSettings = {
  halfLifeMs: 15_000,
  maxHoldMs: 60_000,
};

const FLAP_PENALTY = 1_000;
const HOLD_THRESHOLD = 2_500;
const RELEASE_THRESHOLD = 1_000;

/** Below this a server is forgotten. */
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
   * @param name the server that came back or changed its mind
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
   * @returns true while the server is to be held back
   */
  isHeld(name: string, now: number): boolean {
    const known = this.#penalties.get(name);
    if (!known?.held) return false;
    known.held = this.#decay(known, now) >= RELEASE_THRESHOLD;
    return known.held;
  }

  /**
   * Forgets servers whose penalty is negligible.
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
