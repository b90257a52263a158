/**
 * Decides which member of control a process asks next.
 */
import {type Random} from './core_random.js';

/**
 * The members of control that a process knows: those that its settings name, and
 * those that control has named since.
 *
 * Settings are read at the start. With these addresses alone, a gateway whose
 * three hosts of control had been replaced one after the other heard of no
 * further change: it answered callers 503 for good, beside a group that worked.
 * Each member knows the whole group, so whoever has heard one of them lately can
 * reach the next one. The settings' addresses come last: the processes there may
 * be gone, but after a long absence nobody else may be left of those named.
 */
export class ControlAddresses {
  readonly #configured: readonly string[];
  readonly #random: Random;
  #discovered: readonly string[] = [];
  /** Asked in vain since a member was last heard. */
  readonly #tried = new Set<string>();
  #current = '';

  /**
   * @param configured `host:port` of the members that the settings name
   * @param random draws the next one: processes that lost the same member would
   *     else all go on to the same other one
   */
  constructor(configured: readonly string[], random: Random) {
    this.#configured = configured;
    this.#random = random;
    this.selectNext();
  }

  /** `host:port` of the member to ask; empty when none is known. */
  get current(): string {
    return this.#current;
  }

  /** @param addresses `host:port` of all members, as one of them knows them */
  setDiscovered(addresses: readonly string[]): void {
    if (addresses.length > 0) this.#discovered = [...addresses];
  }

  /** Called when the present member has been heard. */
  noteContact(): void {
    this.#tried.clear();
  }

  /** Leaves the present member for one that hasn't been tried lately. */
  selectNext(): void {
    this.#tried.add(this.#current);
    let untried = this.#findUntried();
    if (untried.length === 0) {
      this.#tried.clear();
      this.#tried.add(this.#current);
      untried = this.#findUntried();
    }
    if (untried.length > 0) this.#current = this.#random.pick(untried);
  }

  #findUntried(): readonly string[] {
    const isUntried = (address: string): boolean => !this.#tried.has(address);
    const discovered = this.#discovered.filter(isUntried);
    return discovered.length > 0
      ? discovered
      : this.#configured.filter(isUntried);
  }
}
