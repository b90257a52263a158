/**
 * The memory that running requests need at one engine.
 */

/** Weight of the newest request in the mean. */
const NEWEST_WEIGHT = 0.1;

/** Tokens of the running requests at one engine. */
export class EngineMemory {
  /** Capacity of the engine's context memory, tokens, if known. */
  contextTokens: number | undefined;
  /** Requests of this gateway. */
  #ownTokens = 0;
  #meanTokens = 0;

  /**
   * @param tokens prompt tokens and expected output tokens of a request that is
   *     sent; more than the engine has room for are an implausible estimate
   * @returns tokens to pass to {@link remove} when the request has ended
   */
  add(tokens: number): number {
    const isPlausible = tokens > 0 && tokens <= (this.contextTokens ?? 0);
    const counted = isPlausible ? tokens : this.#meanTokens;
    if (isPlausible) {
      this.#meanTokens +=
        (tokens - this.#meanTokens) *
        (this.#meanTokens === 0 ? 1 : NEWEST_WEIGHT);
    }
    this.#ownTokens += counted;
    return counted;
  }

  /** @param tokens the result of {@link add} */
  remove(tokens: number): void {
    this.#ownTokens = Math.max(0, this.#ownTokens - tokens);
  }

  /**
   * @param otherRequests requests of other gateways at the engine
   * @returns tokens that the prefix cache can use; undefined if unknown
   */
  cacheTokens(otherRequests: number): number | undefined {
    if (this.contextTokens === undefined) return undefined;
    const used = this.#ownTokens + otherRequests * this.#meanTokens;
    return Math.max(0, this.contextTokens - used);
  }
}
