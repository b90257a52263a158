/**
 * Limits the memory of all request bodies of a listener.
 *
 * When the budget is exhausted, the largest body that is still incomplete gives
 * way. A client that holds much and doesn't finish thus can't shut out the
 * small requests of others.
 */

/** The part of the budget that one request has reserved. */
export interface BodyLease {
  /**
   * @param bytes further bytes to reserve
   * @returns false if the request has to give way; nothing is reserved then
   */
  grow(bytes: number): boolean;
  /**
   * Must be called when the body is complete: from then on it stays until its
   * release.
   *
   * @param bytes all that the request needs, at most what it has reserved
   */
  complete(bytes: number): void;
  /** Releases all reserved bytes; repeated calls have no effect. */
  release(): void;
}

interface Holder {
  bytes: number;
  readonly giveWay: () => void;
}

export class BodyBudget {
  readonly #limitBytes: number;
  /** Incomplete bodies; the one that began first comes first. */
  readonly #incomplete = new Set<Holder>();
  #heldBytes = 0;

  /** @param limitBytes limit on the memory of all bodies, bytes */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Memory of all bodies, bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * @param giveWay called when the incomplete body has to be dropped; must
   *     release the lease
   * @returns an empty lease for one request
   */
  lease(giveWay: () => void): BodyLease {
    const holder: Holder = {bytes: 0, giveWay};
    this.#incomplete.add(holder);
    return {
      grow: bytes => {
        if (!this.#makeRoom(holder, bytes)) return false;
        this.#change(holder, holder.bytes + bytes);
        return true;
      },
      complete: bytes => {
        this.#incomplete.delete(holder);
        this.#change(holder, bytes);
      },
      release: () => {
        this.#incomplete.delete(holder);
        this.#change(holder, 0);
      },
    };
  }

  #change(holder: Holder, bytes: number): void {
    this.#heldBytes += bytes - holder.bytes;
    holder.bytes = bytes;
  }

  #makeRoom(holder: Holder, bytes: number): boolean {
    while (this.#heldBytes + bytes > this.#limitBytes) {
      const largest = this.#findLargest(holder);
      if (!largest || largest.bytes < holder.bytes + bytes) return false;
      largest.giveWay();
      // A holder that keeps its bytes would be found again and again.
      this.#incomplete.delete(largest);
      this.#change(largest, 0);
    }
    return true;
  }

  #findLargest(except: Holder): Holder | undefined {
    let largest: Holder | undefined;
    for (const holder of this.#incomplete) {
      if (holder === except) continue;
      if (!largest || holder.bytes > largest.bytes) largest = holder;
    }
    return largest;
  }
}
