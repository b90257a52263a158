/**
 * Backend servers that said in a response that they are about to exit.
 *
 * Control learns of a drain from the server's own report, which may arrive late
 * or get lost.
 */

/**
 * Time for which a server that control doesn't list counts as leaving after
 * its last response, milliseconds: longer than any server drains.
 */
const UNLISTED_TTL_MS = 600_000;

/** Times of the last response that said so, by server. */
export class GatewayLeavingServers {
  readonly #saidAt = new Map<string, number>();

  /** Number of servers that are known to be leaving. */
  get size(): number {
    return this.#saidAt.size;
  }

  /**
   * @param server name of the server
   * @param now current time, monotonic milliseconds
   * @returns true if the server was not known to be leaving
   */
  note(server: string, now: number): boolean {
    const isNew = !this.#saidAt.has(server);
    this.#saidAt.set(server, now);
    return isNew;
  }

  /** @returns true if the server said that it is about to exit */
  has(server: string): boolean {
    return this.#saidAt.has(server);
  }

  /**
   * @param isListed whether control lists a server
   * @param now current time, monotonic milliseconds
   */
  expire(isListed: (server: string) => boolean, now: number): void {
    for (const [server, saidAt] of this.#saidAt) {
      const isOld = now - saidAt > UNLISTED_TTL_MS;
      if (isOld && !isListed(server)) this.#saidAt.delete(server);
    }
  }
}
