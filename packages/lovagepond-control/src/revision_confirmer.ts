/**
 * What a follower asks its leader for the nodes that are subscribed to it.
 *
 * Each gateway asks twice a second whether its configuration is the newest. A
 * question for each would make the leader's work grow with the gateways, and after
 * a stop of all it is the busiest.
 */
import {type RevisionReport} from './leader_client.js';
import {CoalescedCall} from './coalesced_call.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {ReportedRevisions} from './reported_revisions.js';

type ConfirmedRevision = number | undefined;

/** What the questions are asked with. */
export interface RevisionConfirmerDependencies {
  /** This member's name. */
  readonly nodeName: string;
  /** @returns `host:port` of the leader; empty when none is known */
  leaderAddress(): string;
  /** Asks the leader, and tells it which revision a node holds. */
  report(report: RevisionReport): Promise<ConfirmedRevision>;
}

/** Asks once for all who ask at the same time. */
export class RevisionConfirmer {
  readonly #deps: RevisionConfirmerDependencies;
  readonly #reports = new ReportedRevisions();
  readonly #immediate: CoalescedCall<ConfirmedRevision>;
  /** Answered with the leader's next heartbeat. */
  readonly #deferred: CoalescedCall<ConfirmedRevision>;

  constructor(deps: RevisionConfirmerDependencies) {
    this.#deps = deps;
    this.#immediate = new CoalescedCall(() => this.#queryLeader(true));
    this.#deferred = new CoalescedCall(() => this.#queryLeader(false));
  }

  /**
   * @returns the revision in force, confirmed by a majority after the call began;
   *     undefined when the leader didn't answer
   */
  confirm(): Promise<ConfirmedRevision> {
    return this.#immediate.get();
  }

  /**
   * The same for a node; the leader hears what it holds where it doesn't know it.
   *
   * @param report what the node holds
   * @param now monotonic milliseconds
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

  /** @param now monotonic milliseconds; forgets nodes that have gone */
  sweep(now: number): void {
    this.#reports.sweep(now);
  }

  #queryLeader(atOnce: boolean): Promise<ConfirmedRevision> {
    const {nodeName: node, report} = this.#deps;
    return report({node, role: CONTROL_ROLE, revision: 0, atOnce});
  }
}
