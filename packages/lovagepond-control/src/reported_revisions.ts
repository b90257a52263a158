/**
 * Which revisions of its nodes a follower has told the leader.
 */

/** The leader forgets a node that it hasn't heard of for some minutes. */
const REPORT_AGAIN_MS = 60_000;

interface LastReport {
  readonly leader: string;
  readonly revision: number;
  readonly at: number;
}

/** Spares the leader what it knows. */
export class ReportedRevisions {
  readonly #lastReports = new Map<string, LastReport>();

  /**
   * @param leader `host:port` of the leader
   * @param node the node's name
   * @param revision the revision it holds
   * @param now monotonic milliseconds
   * @returns true when the leader is to be told
   */
  needsReport(
    leader: string,
    node: string,
    revision: number,
    now: number,
  ): boolean {
    const last = this.#lastReports.get(node);
    const isKnown =
      last?.leader === leader &&
      last.revision === revision &&
      now - last.at < REPORT_AGAIN_MS;
    return !isKnown;
  }

  /**
   * @param leader `host:port` of the leader, which has answered
   * @param node the node's name
   * @param revision the revision that it was told of
   * @param now monotonic milliseconds
   */
  add(leader: string, node: string, revision: number, now: number): void {
    this.#lastReports.set(node, {leader, revision, at: now});
  }

  /** @param now monotonic milliseconds; forgets nodes that have gone */
  sweep(now: number): void {
    for (const [node, {at}] of this.#lastReports) {
      if (now - at > 2 * REPORT_AGAIN_MS) this.#lastReports.delete(node);
    }
  }
}
