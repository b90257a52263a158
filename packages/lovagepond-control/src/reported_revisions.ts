/**
 * The revisions of its nodes that a follower has reported to the leader.
 */

/**
 * Time after which an unchanged revision is reported again, milliseconds: the
 * leader removes nodes without a report for some minutes.
 */
const REPORT_AGAIN_MS = 60_000;

interface LastReport {
  readonly leader: string;
  readonly revision: number;
  readonly at: number;
}

/** Avoids reports of revisions that the leader already has. */
export class ReportedRevisions {
  readonly #lastReports = new Map<string, LastReport>();

  /**
   * @param leader `host:port` of the leader
   * @param node the node's name
   * @param revision the revision it holds
   * @param now monotonic milliseconds
   * @returns true if the revision must be reported to the leader
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
   * Records a report that the leader has answered.
   *
   * @param leader `host:port` of the leader
   * @param node the node's name
   * @param revision the reported revision
   * @param now monotonic milliseconds
   */
  add(leader: string, node: string, revision: number, now: number): void {
    this.#lastReports.set(node, {leader, revision, at: now});
  }

  /**
   * Removes nodes that no longer report.
   *
   * @param now monotonic milliseconds
   */
  sweep(now: number): void {
    for (const [node, {at}] of this.#lastReports) {
      if (now - at > 2 * REPORT_AGAIN_MS) this.#lastReports.delete(node);
    }
  }
}
