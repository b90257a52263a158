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
export interface ZoneReturn {
  readonly zone: string;
  /** Replicated time of the request, milliseconds. */
  readonly atMs: number;
  /** Routers among which those of servers without routers are chosen. */
  readonly warmUpRouters: readonly string[];
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
  readonly #returns = new Map<string, ZoneReturn>();

  /**
   * @param zone an availability zone
   * @param timeMs replicated time
   */
  evacuate(zone: string, timeMs: number): void {
    if (!this.isEvacuated(zone)) this.#sinceMs.set(zone, timeMs);
  }

  /**
   * Returns a zone to service, if it is evacuated.
   *
   * @param zone an availability zone
   * @param timeMs replicated time
   * @param warmUpRouters routers among which those of servers without routers
   *     are chosen
   */
  resume(
    zone: string,
    timeMs: number,
    warmUpRouters: readonly string[] = [],
  ): void {
    if (!this.#sinceMs.delete(zone)) return;
    this.#returns.delete(zone);
    this.#returns.set(zone, {zone, atMs: timeMs, warmUpRouters});
    for (const oldest of this.#returns.keys()) {
      if (this.#returns.size <= MAX_RETURNS) return;
      this.#returns.delete(oldest);
    }
  }

  /** @returns true while the zone's servers must drain */
  isEvacuated(zone: string): boolean {
    return this.#sinceMs.has(zone);
  }

  /**
   * @param zone an availability zone
   * @returns its last return to service, if any
   */
  lastReturn(zone: string): ZoneReturn | undefined {
    return this.#returns.get(zone);
  }

  /** @returns the evacuated zones, in the order of the requests */
  list(): readonly ZoneEvacuation[] {
    return [...this.#sinceMs].map(([zone, sinceMs]) => ({zone, sinceMs}));
  }

  /** @returns the serialized form */
  snapshot(): ZoneEvacuationSnapshot {
    return {evacuated: this.list(), returned: [...this.#returns.values()]};
  }

  /** @param snapshot the result of {@link snapshot}; absent in older ones */
  restore(snapshot: ZoneEvacuationSnapshot | undefined): void {
    this.#sinceMs.clear();
    this.#returns.clear();
    for (const {zone, sinceMs} of snapshot?.evacuated ?? []) {
      this.#sinceMs.set(zone, sinceMs);
    }
    for (const one of snapshot?.returned ?? []) {
      this.#returns.set(one.zone, one);
    }
  }
}
