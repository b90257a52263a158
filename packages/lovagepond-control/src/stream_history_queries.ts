/**
 * Answers what was in service lately: at the leader after a read barrier, at a
 * follower by a request to the leader.
 */
import {type Clock} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type ControlStateMachine} from './control_state_machine.js';
import {type LeaderClient} from './leader_client.js';
import {type Proposer} from './proposer.js';
import {toUint32} from './wire_utils.js';

const {v1} = lovagepond;

export interface StreamHistoryQueriesDependencies {
  readonly clock: Clock;
  readonly machine: ControlStateMachine;
  readonly proposer: Pick<Proposer, 'leads' | 'confirm'>;
}

type Leader = Pick<LeaderClient, 'readStreamHistory'>;

export class StreamHistoryQueries {
  readonly #deps: StreamHistoryQueriesDependencies;
  readonly #leader: Leader;

  /**
   * @param deps the replicated state
   * @param leader calls the leader while this member is none
   */
  constructor(deps: StreamHistoryQueriesDependencies, leader: Leader) {
    this.#deps = deps;
    this.#leader = leader;
  }

  /**
   * @param req a router's question
   * @returns the history as of some time after the call began, unless no leader
   *     could confirm it
   */
  async answer(
    req: lovagepond.v1.StreamHistoryRequest,
  ): Promise<lovagepond.v1.StreamHistoryResponse> {
    const {clock, machine, proposer} = this.#deps;
    if (!proposer.leads()) return this.#leader.readStreamHistory(req);
    if (!(await proposer.confirm())) return new v1.StreamHistoryResponse();
    const timeMs = machine.time.stamp(clock.now());
    const {versions, changes, completeForMs} = machine.streams.describe(timeMs);
    return new v1.StreamHistoryResponse({
      confirmed: true,
      versions: versions.map(
        ({goneForMs, ...served}) =>
          new v1.ServedVersion({...served, goneForMs: toUint32(goneForMs)}),
      ),
      changes: changes.map(
        ({ageMs, ...changed}) =>
          new v1.SelectorChange({...changed, ageMs: toUint32(ageMs)}),
      ),
      completeForMs: toUint32(completeForMs),
    });
  }
}
