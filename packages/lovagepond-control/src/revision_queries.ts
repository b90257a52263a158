/**
 * Answers which revision is the newest: at the leader by a read barrier, at a
 * follower by a request to the leader.
 */
import {type Clock} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {type Proposer} from './proposer.js';
import {RevisionConfirmer} from './revision_confirmer.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {type RevisionReport} from './leader_client.js';

const {v1} = lovagepond;

export interface RevisionQueriesDependencies {
  readonly clock: Clock;
  readonly nodeName: string;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  readonly convergence: ConvergenceTable;
  /** Reports a node's revision to the leader, which confirms the newest one. */
  readonly reportToLeader: (
    report: RevisionReport,
  ) => Promise<number | undefined>;
}

/** Confirms the newest revision for this member and for other nodes. */
export class RevisionQueries {
  readonly #deps: RevisionQueriesDependencies;
  readonly #confirmer: RevisionConfirmer;

  constructor(deps: RevisionQueriesDependencies) {
    this.#deps = deps;
    this.#confirmer = new RevisionConfirmer({
      nodeName: deps.nodeName,
      leaderAddress: () => deps.proposer.leaderAddress(),
      report: deps.reportToLeader,
    });
  }

  /**
   * @param report a node's revision, which a follower forwards to the leader
   * @returns the revision in force, confirmed by a majority after the call
   *     began, unless no leader could confirm it
   */
  async answer(
    report: lovagepond.v1.ConvergenceReport,
  ): Promise<lovagepond.v1.ConvergenceResponse> {
    const {node, role, revision, atOnce} = report;
    const {proposer, convergence, clock} = this.#deps;
    const now = clock.now();
    if (role !== CONTROL_ROLE) convergence.report(node, role, revision, now);
    const confirmed = proposer.leads()
      ? await this.#confirmAsLeader(!atOnce)
      : await this.#confirmer.confirmFor({node, role, revision, atOnce}, now);
    return new v1.ConvergenceResponse({
      revision: confirmed ?? 0,
      confirmed: confirmed !== undefined,
    });
  }

  /** @returns the revision that a majority confirms; undefined if none does */
  async confirm(): Promise<number | undefined> {
    return this.#deps.proposer.leads()
      ? this.#confirmAsLeader()
      : this.#confirmer.confirm();
  }

  /**
   * Removes nodes that no longer report.
   *
   * @param now monotonic milliseconds
   */
  sweep(now: number): void {
    this.#confirmer.sweep(now);
  }

  async #confirmAsLeader(mayWait = false): Promise<number | undefined> {
    const {proposer, machine} = this.#deps;
    if (!(await proposer.confirm(mayWait))) return undefined;
    return machine.configuration.current.read().revision;
  }
}
