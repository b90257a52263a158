/**
 * Evacuations of availability zones, as operators request them. While a zone is
 * evacuated, all of its backend servers drain.
 */

/** The evacuation of one zone. */
export interface ZoneEvacuation {
  readonly zone: string;
  /** Replicated time of the request, milliseconds. */
  readonly sinceMs: number;
}

/** A zone that was returned to service. */
interface ZoneReturn {
  readonly zone: string;
  readonly atMs: number;
}

export interface ZoneEvacuationSnapshot {
  readonly evacuated: readonly ZoneEvacuation[];
  readonly returned: readonly ZoneReturn[];
}

/** Zones whose last return to service is remembered. */
const MAX_RETURNS = 256;

/** Evacuated zones. Part of the replicated state. */
export class ZoneEvacuations {
  readonly #sinceMs = new Map<string, number>();
  readonly #returnedAtMs = new Map<string, number>();

  /**
   * @param zone an availability zone
   * @param isEvacuated false to return the zone to service
   * @param timeMs replicated time
   */
  set(zone: string, isEvacuated: boolean, timeMs: number): void {
    if (isEvacuated === this.isEvacuated(zone)) return;
    if (isEvacuated) this.#sinceMs.set(zone, timeMs);
    else this.#noteReturn(zone, timeMs);
  }

  /** @returns true while the zone's servers must drain */
  isEvacuated(zone: string): boolean {
    return this.#sinceMs.has(zone);
  }

  /**
   * @param zone an availability zone
   * @returns replicated time of its last return to service, if any
   */
  returnedAtMs(zone: string): number | undefined {
    return this.#returnedAtMs.get(zone);
  }

  /** @returns the evacuated zones, in the order of the requests */
  list(): readonly ZoneEvacuation[] {
    return [...this.#sinceMs].map(([zone, sinceMs]) => ({zone, sinceMs}));
  }

  /** @returns the serialized form */
  snapshot(): ZoneEvacuationSnapshot {
    const returns = [...this.#returnedAtMs];
    const returned = returns.map(([zone, atMs]) => ({zone, atMs}));
    return {evacuated: this.list(), returned};
  }

  /** @param snapshot the result of {@link snapshot}; absent in older ones */
  restore(snapshot: ZoneEvacuationSnapshot | undefined): void {
    this.#sinceMs.clear();
    this.#returnedAtMs.clear();
    for (const {zone, sinceMs} of snapshot?.evacuated ?? []) {
      this.#sinceMs.set(zone, sinceMs);
    }
    for (const {zone, atMs} of snapshot?.returned ?? []) {
      this.#returnedAtMs.set(zone, atMs);
    }
  }

  #noteReturn(zone: string, timeMs: number): void {
    this.#sinceMs.delete(zone);
    this.#returnedAtMs.delete(zone);
    this.#returnedAtMs.set(zone, timeMs);
    for (const oldest of this.#returnedAtMs.keys()) {
      if (this.#returnedAtMs.size <= MAX_RETURNS) return;
      this.#returnedAtMs.delete(oldest);
    }
  }
}
