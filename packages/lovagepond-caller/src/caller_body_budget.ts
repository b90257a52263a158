/**
 * Limits the total size of all request bodies in memory.
 */

/** The part of the budget that one request has reserved. */
export interface BodyLease {
  /**
   * @param bytes number of bytes to reserve
   * @returns false if they would exceed the budget; nothing is reserved then
   */
  add(bytes: number): boolean;
  /** Releases all reserved bytes; repeated calls have no effect. */
  release(): void;
}

/** The memory budget for bodies, shared by all requests of a server. */
export class BodyBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  /** @param limitBytes limit on the total size of all bodies, bytes */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Total size of all bodies in memory, bytes. */
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
