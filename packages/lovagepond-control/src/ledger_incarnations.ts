/**
 * The current and the superseded incarnations of each sidecar.
 */
import {ExpiryQueue} from './expiry_queue.js';
import {type ClaimOwner} from './ledger_entry.js';

/** Limit of superseded incarnations that are stored for one sidecar. */
const MAX_FORMER_INCARNATIONS = 8;

/**
 * A sidecar whose current incarnation registered this long ago is removed with
 * its superseded incarnations, as the names of replaced hosts would otherwise
 * accumulate. A sidecar that still runs is registered again by its next
 * announcement.
 */
const REGISTRATION_RETENTION_MS = 7 * 24 * 3_600_000;

interface Registration {
  readonly owner: ClaimOwner;
  /** Superseded incarnations, which can't register again. */
  readonly former: readonly string[];
  /** Replicated time at which the current incarnation registered. */
  readonly sinceMs: number;
}

export type IncarnationSnapshot = readonly (readonly [string, Registration])[];

/** The incarnations of sidecars. Part of the replicated state. */
export class LedgerIncarnations {
  readonly #registered = new Map<string, Registration>();
  readonly #queue = new ExpiryQueue();
  /** Sidecars whose registration has expired but that have open claims. */
  readonly #expired = new Set<string>();

  /**
   * @param server a sidecar's backend server
   * @returns the sidecar's current incarnation, if one is registered
   */
  current(server: string): ClaimOwner | undefined {
    return this.#registered.get(server)?.owner;
  }

  /**
   * Makes an incarnation the current one, unless it was superseded before. If a
   * late announcement of a superseded incarnation were accepted, the open claims
   * of the running one would become unknown, and the two would supersede each
   * other forever.
   *
   * @param server the sidecar's backend server
   * @param incarnation the incarnation
   * @param timeMs replicated time
   * @returns false when the incarnation was superseded before
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
    // Keeps the order of registration, in which a snapshot is restored.
    this.#registered.delete(server);
    this.#registered.set(server, {owner, former, sinceMs: timeMs});
    this.#queue.push(server, timeMs);
    return true;
  }

  /**
   * Removes sidecars whose registration has expired. What is removed depends
   * only on the registrations and the claims, so that a member restored from a
   * snapshot removes the same ones.
   *
   * @param timeMs replicated time
   * @param hasOpenClaims whether a sidecar has open claims and must be kept
   */
  expire(timeMs: number, hasOpenClaims: (server: string) => boolean): void {
    const untilMs = timeMs - REGISTRATION_RETENTION_MS;
    for (;;) {
      const server = this.#queue.takeUntil(untilMs);
      if (server === undefined) break;
      this.#expired.add(server);
    }
    for (const server of this.#expired) {
      const known = this.#registered.get(server);
      const isCurrent = known !== undefined && known.sinceMs <= untilMs;
      if (isCurrent && hasOpenClaims(server)) continue;
      this.#expired.delete(server);
      if (isCurrent) this.#registered.delete(server);
    }
  }

  /** @returns the serialized form */
  snapshot(): IncarnationSnapshot {
    return [...this.#registered];
  }

  /** @param snapshot the result of {@link snapshot} */
  restore(snapshot: IncarnationSnapshot): void {
    this.#registered.clear();
    this.#queue.clear();
    this.#expired.clear();
    const sorted = [...snapshot].sort((a, b) => a[1].sinceMs - b[1].sinceMs);
    for (const [server, known] of sorted) {
      this.#registered.set(server, known);
      this.#queue.push(server, known.sinceMs);
    }
  }
}
