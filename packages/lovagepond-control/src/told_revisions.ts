/**
 * Which revisions of its nodes a follower has told the leader.
 */

/** The leader forgets a node that it hasn't heard of for some minutes. */
const TELL_AGAIN_MS = 60_000;

interface Told {
  readonly leader: string;
  readonly revision: number;
  readonly at: number;
}

/** Spares the leader what it knows. */
export class ToldRevisions {
  readonly #told = new Map<string, Told>();

  /**
   * @param leader `host:port` of the leader
   * @param node the node's name
   * @param revision the revision it holds
   * @param now monotonic milliseconds
   * @returns true when the leader is to be told
   */
  isNews(leader: string, node: string, revision: number, now: number): boolean {
    const told = this.#told.get(node);
    const isKnown =
      told?.leader === leader &&
      told.revision === revision &&
      now - told.at < TELL_AGAIN_MS;
    return !isKnown;
  }

  /**
   * @param leader `host:port` of the leader, which has answered
   * @param node the node's name
   * @param revision the revision that it was told of
   * @param now monotonic milliseconds
   */
  note(leader: string, node: string, revision: number, now: number): void {
    this.#told.set(node, {leader, revision, at: now});
  }

  /** @param now monotonic milliseconds; forgets nodes that have gone */
  sweep(now: number): void {
    for (const [node, {at}] of this.#told) {
      if (now - at > 2 * TELL_AGAIN_MS) this.#told.delete(node);
    }
  }
}
