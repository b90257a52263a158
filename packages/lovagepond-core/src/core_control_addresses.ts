/**
 * Selects the member of control that a process connects to.
 */
import {type Random} from './core_random.js';

/**
 * The known addresses of control members: those configured in the settings file
 * and those discovered from control since.
 *
 * Settings are read only at start. With the configured addresses alone, a
 * gateway would lose control for good once its three control hosts have been
 * replaced one after the other, and answer callers with 503 although control
 * works. Each member reports the addresses of the whole group, so a process
 * that was connected recently can reach another member. Configured addresses
 * are tried last, as these members may have been replaced, but they are needed
 * after a long disconnection, when all discovered members may be gone.
 */
export class ControlAddresses {
  readonly #configured: readonly string[];
  readonly #random: Random;
  #discovered: readonly string[] = [];
  /** Addresses that failed since the last contact with a member. */
  readonly #tried = new Set<string>();
  #current = '';

  /**
   * @param configured `host:port` of the members in the settings file
   * @param random selects the next member, so that processes that lost the same
   *     member spread over the others
   */
  constructor(configured: readonly string[], random: Random) {
    this.#configured = configured;
    this.#random = random;
    this.selectNext();
  }

  /** `host:port` of the selected member; empty when none is known. */
  get current(): string {
    return this.#current;
  }

  /** @param addresses `host:port` of all members, as reported by one of them */
  setDiscovered(addresses: readonly string[]): void {
    if (addresses.length > 0) this.#discovered = [...addresses];
  }

  /** Called when the selected member has answered. */
  noteContact(): void {
    this.#tried.clear();
  }

  /**
   * Selects another member, preferably one not tried since the last contact.
   */
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
