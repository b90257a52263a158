/**
 * What a follower asks its leader for the nodes that are subscribed to it.
 *
 * Each gateway asks twice a second whether its configuration is the newest. A
 * question for each would make the leader's work grow with the gateways, and after
 * a stop of all it is the busiest.
 */
import {type RevisionReport} from './leader_relay.js';
import {SharedAnswer} from './shared_answer.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {ToldRevisions} from './told_revisions.js';

type Confirmed = number | undefined;

/** What the questions are asked with. */
export interface LeaderQuestionsParts {
  /** This member's name. */
  readonly nodeName: string;
  /** @returns `host:port` of the leader; empty when none is known */
  leaderAddress(): string;
  /** Asks the leader, and tells it which revision a node holds. */
  report(report: RevisionReport): Promise<Confirmed>;
}

/** Asks once for all who ask at the same time. */
export class LeaderQuestions {
  readonly #parts: LeaderQuestionsParts;
  readonly #told = new ToldRevisions();
  readonly #atOnce: SharedAnswer<Confirmed>;
  /** Answered with the leader's next heartbeat. */
  readonly #patient: SharedAnswer<Confirmed>;

  constructor(parts: LeaderQuestionsParts) {
    this.#parts = parts;
    this.#atOnce = new SharedAnswer(() => this.#ask(true));
    this.#patient = new SharedAnswer(() => this.#ask(false));
  }

  /**
   * @returns the revision in force, confirmed by a majority after the call began;
   *     undefined when the leader didn't answer
   */
  confirm(): Promise<Confirmed> {
    return this.#atOnce.get();
  }

  /**
   * The same for a node; the leader hears what it holds where it doesn't know it.
   *
   * @param report what the node holds
   * @param now monotonic milliseconds
   */
  async confirmFor(report: RevisionReport, now: number): Promise<Confirmed> {
    const {node, role, revision, atOnce} = report;
    const leader = this.#parts.leaderAddress();
    const isNews =
      role !== CONTROL_ROLE && this.#told.isNews(leader, node, revision, now);
    if (!isNews) return (atOnce ? this.#atOnce : this.#patient).get();
    const confirmed = await this.#parts.report(report);
    if (confirmed !== undefined) this.#told.note(leader, node, revision, now);
    return confirmed;
  }

  /** @param now monotonic milliseconds; forgets nodes that have gone */
  sweep(now: number): void {
    this.#told.sweep(now);
  }

  #ask(atOnce: boolean): Promise<Confirmed> {
    const {nodeName: node, report} = this.#parts;
    return report({node, role: CONTROL_ROLE, revision: 0, atOnce});
  }
}
