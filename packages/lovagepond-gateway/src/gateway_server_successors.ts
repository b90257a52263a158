/**
 * Knows which servers have been replaced by a later process of the same
 * incarnation.
 *
 * A gateway that subscribes to another member of control may get an older list,
 * which still has the former process. Its successor would get the requests, at the
 * same address, as a warm server.
 */
import {type BackendServer} from '@lovagepond/core';

/** Incarnations and former servers that are remembered. */
const MAX_KNOWN = 2_048;

export class ServerSuccessors {
  /** Name of the latest server of each incarnation. */
  readonly #latest = new Map<string, string>();
  readonly #former = new Set<string>();

  /**
   * @param server a server of the newest list
   * @returns true if an earlier list had a successor of it
   */
  isFormer({
    name,
    incarnation,
  }: Pick<BackendServer, 'name' | 'incarnation'>): boolean {
    if (this.#former.has(name)) return true;
    const latest = this.#latest.get(incarnation);
    if (latest !== undefined && latest !== name) this.#former.add(latest);
    this.#latest.delete(incarnation);
    this.#latest.set(incarnation, name);
    for (const known of [this.#latest, this.#former]) {
      for (const oldest of known.keys()) {
        if (known.size <= MAX_KNOWN) break;
        known.delete(oldest);
      }
    }
    return false;
  }
}
