/**
 * A follower's requests to the leader to confirm the newest revision, on behalf
 * of the nodes that are connected to the follower.
 *
 * Each gateway checks twice a second whether its configuration is the newest.
 * Forwarding each request would make the leader's load grow with the number of
 * gateways, and the leader is busiest after a restart of all processes.
 */
import {type RevisionReport} from './leader_client.js';
import {CoalescedCall} from './coalesced_call.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {ReportedRevisions} from './reported_revisions.js';

type ConfirmedRevision = number | undefined;

export interface RevisionConfirmerDependencies {
  /** This member's name. */
  readonly nodeName: string;
  /** @returns `host:port` of the leader; empty when none is known */
  leaderAddress(): string;
  /** Reports a node's revision to the leader, which confirms the newest one. */
  report(report: RevisionReport): Promise<ConfirmedRevision>;
}

/** Sends one request to the leader for all concurrent callers. */
export class RevisionConfirmer {
  readonly #deps: RevisionConfirmerDependencies;
  readonly #reports = new ReportedRevisions();
  readonly #immediate: CoalescedCall<ConfirmedRevision>;
  /** The leader may answer with its next heartbeat. */
  readonly #deferred: CoalescedCall<ConfirmedRevision>;

  constructor(deps: RevisionConfirmerDependencies) {
    this.#deps = deps;
    this.#immediate = new CoalescedCall(() => this.#queryLeader(true));
    this.#deferred = new CoalescedCall(() => this.#queryLeader(false));
  }

  /**
   * @returns the revision in force, confirmed by a majority after the call
   *     began; undefined when the leader didn't answer
   */
  confirm(): Promise<ConfirmedRevision> {
    return this.#immediate.get();
  }

  /**
   * Confirms the newest revision for a node. Reports the node's revision to
   * the leader unless the leader already has it.
   *
   * @param report the node's revision
   * @param now monotonic milliseconds
   * @returns as {@link RevisionConfirmer.confirm}
   */
  async confirmFor(
    report: RevisionReport,
    now: number,
  ): Promise<ConfirmedRevision> {
    const {node, role, revision, atOnce} = report;
    const leader = this.#deps.leaderAddress();
    const needsReport =
      role !== CONTROL_ROLE &&
      this.#reports.needsReport(leader, node, revision, now);
    if (!needsReport) return (atOnce ? this.#immediate : this.#deferred).get();
    const confirmed = await this.#deps.report(report);
    if (confirmed !== undefined) this.#reports.add(leader, node, revision, now);
    return confirmed;
  }

  /**
   * Removes nodes that no longer report.
   *
   * @param now monotonic milliseconds
   */
  sweep(now: number): void {
    this.#reports.sweep(now);
  }

  #queryLeader(atOnce: boolean): Promise<ConfirmedRevision> {
    const {nodeName: node, report} = this.#deps;
    return report({node, role: CONTROL_ROLE, revision: 0, atOnce});
  }
}
