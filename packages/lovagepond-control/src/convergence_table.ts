/**
 * The configuration revision that each router and sidecar last reported.
 */
import {type ConvergenceView} from './control_administration.js';

/** A node that sends no report for this long is removed from the table. */
const REPORT_RETENTION_MS = 10 * 60_000;

interface Report {
  readonly role: string;
  readonly revision: number;
  readonly at: number;
}

/** Latest reports of all nodes. Soft state of one member. */
export class ConvergenceTable {
  readonly #reports = new Map<string, Report>();

  /**
   * @param node the node's name
   * @param role `router` or `sidecar`
   * @param revision the revision that the node holds
   * @param now monotonic milliseconds
   */
  report(node: string, role: string, revision: number, now: number): void {
    this.#reports.set(node, {role, revision, at: now});
  }

  /**
   * Removes expired reports.
   *
   * @param now monotonic milliseconds
   */
  sweep(now: number): void {
    for (const [node, report] of this.#reports) {
      if (now - report.at > REPORT_RETENTION_MS) this.#reports.delete(node);
    }
  }

  /**
   * @param role `router` or `sidecar`
   * @param since time of the earliest report, monotonic milliseconds; all by
   *     default
   * @returns names of the nodes of this role
   */
  namesOf(role: string, since = Number.NEGATIVE_INFINITY): readonly string[] {
    return [...this.#reports]
      .filter(([, one]) => one.role === role && one.at >= since)
      .map(([name]) => name);
  }

  /**
   * @param now monotonic milliseconds
   * @returns every node, sorted by revision, lowest first
   */
  list(now: number): ConvergenceView[] {
    return [...this.#reports]
      .map(([node, {role, revision, at}]) => ({
        node,
        role,
        revision,
        ageMs: now - at,
      }))
      .sort((a, b) => a.revision - b.revision || b.ageMs - a.ageMs);
  }
}
