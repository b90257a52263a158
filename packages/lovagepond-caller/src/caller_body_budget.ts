/**
 * Bounds the bytes of all request bodies that are held at once.
 */

/** One request's part of the budget. */
export interface BodyLease {
  /**
   * @param bytes further bytes of the body
   * @returns false when the budget doesn't hold them
   */
  add(bytes: number): boolean;
  /** Gives all of it back; once only. */
  release(): void;
}

/** Shared by all requests of a server. */
export class BodyBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  /** @param limitBytes upper bound of all bodies together */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes of all bodies held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** @returns an empty lease for one request */
  lease(): BodyLease {
    let leased = 0;
    return {
      add: bytes => {
        if (this.#heldBytes + bytes > this.#limitBytes) return false;
        this.#heldBytes += bytes;
        leased += bytes;
        return true;
      },
      release: () => {
        this.#heldBytes -= leased;
        leased = 0;
      },
    };
  }
}
