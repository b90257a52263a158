/**
 * Which incarnation of each sidecar may claim, and which attempts gave up.
 */
import {ExpiryQueue} from './expiry_queue.js';
import {type ClaimOwner} from './ledger_entry.js';

/** Former incarnations remembered of one sidecar. */
const MAX_FORMER_INCARNATIONS = 8;

/**
 * A sidecar not registered anew for this long is forgotten with its superseded
 * incarnations. Names of replaced hosts would pile up for ever otherwise; a
 * sidecar that still runs registers again with its next announcement.
 */
const REGISTRATION_RETENTION_MS = 7 * 24 * 3_600_000;

interface Registration {
  readonly owner: ClaimOwner;
  /** Superseded ones: they never come back. */
  readonly former: readonly string[];
  readonly sinceMs: number;
}

/** Serialized form. */
export type IncarnationSnapshot = readonly (readonly [string, Registration])[];

/** The incarnations of sidecars. Part of the replicated state. */
export class LedgerIncarnations {
  readonly #registered = new Map<string, Registration>();
  readonly #queue = new ExpiryQueue();

  /**
   * @param server a sidecar's backend server
   * @returns its incarnation that may claim, if one registered
   */
  current(server: string): ClaimOwner | undefined {
    return this.#registered.get(server)?.owner;
  }

  /**
   * Makes an incarnation the current one. A superseded one is refused: its
   * announcement delivered late would turn the claims of the running
   * incarnation to unknown, and the two would supersede each other for ever.
   *
   * @param server the sidecar's backend server
   * @param incarnation the incarnation
   * @param timeMs replicated time
   * @returns false when the incarnation had been superseded
   */
  register(server: string, incarnation: string, timeMs: number): boolean {
    const known = this.#registered.get(server);
    if (known?.owner.incarnation === incarnation) return true;
    if (known?.former.includes(incarnation)) return false;
    const former = known
      ? [known.owner.incarnation, ...known.former].slice(
          0,
          MAX_FORMER_INCARNATIONS,
        )
      : [];
    const owner = {server, incarnation};
    this.#registered.set(server, {owner, former, sinceMs: timeMs});
    this.#queue.push(server, timeMs);
    return true;
  }

  /**
   * Forgets sidecars that registered long ago.
   *
   * @param timeMs replicated time
   * @param hasOpenClaims says which sidecars have open claims and stay
   */
  expire(timeMs: number, hasOpenClaims: (server: string) => boolean): void {
    const untilMs = timeMs - REGISTRATION_RETENTION_MS;
    for (;;) {
      const server = this.#queue.takeUntil(untilMs);
      if (server === undefined) return;
      const known = this.#registered.get(server);
      if (!known || known.sinceMs > untilMs || hasOpenClaims(server)) continue;
      this.#registered.delete(server);
    }
  }

  /** @returns the serialized form */
  snapshot(): IncarnationSnapshot {
    return [...this.#registered];
  }

  /** @param snapshot what {@link snapshot} gave */
  restore(snapshot: IncarnationSnapshot): void {
    this.#registered.clear();
    this.#queue.clear();
    const sorted = [...snapshot].sort((a, b) => a[1].sinceMs - b[1].sinceMs);
    for (const [server, known] of sorted) {
      this.#registered.set(server, known);
      this.#queue.push(server, known.sinceMs);
    }
  }
}
