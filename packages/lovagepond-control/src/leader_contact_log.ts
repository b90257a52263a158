/**
 * Logs when a member loses its contact with the leader, and when it has it again.
 */
import {type ConsensusNode} from '@lovagepond/consensus';
import {type Logger} from '@lovagepond/core';

export class LeaderContactLog {
  readonly #node: Pick<ConsensusNode, 'status'>;
  readonly #log: Logger;
  #hadContact = false;

  /**
   * @param node knows the leader and the term
   * @param log receives the lines
   */
  constructor(node: Pick<ConsensusNode, 'status'>, log: Logger) {
    this.#node = node;
    this.#log = log;
  }

  /** @param hasContact whether the member serves subscribers now */
  note(hasContact: boolean): void {
    if (hasContact === this.#hadContact) return;
    this.#hadContact = hasContact;
    const {leader, role, term} = this.#node.status();
    const message = hasContact ? 'leader contact' : 'leader contact lost';
    this.#log.info(message, {leader: leader?.address, role, term});
  }
}
