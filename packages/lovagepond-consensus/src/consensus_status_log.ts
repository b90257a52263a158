/**
 * Logs the role, term and members of a member when one of them changes.
 */
import {type Logger} from '@lovagepond/core';
import {
  type ConsensusStatus,
  type Member,
  type MemberList,
  type MemberRole,
} from './consensus_types.js';

/** Logged part of an identity; it identifies a member in its group. */
const SHOWN_ID_LENGTH = 8;

function describe({id, address, voter}: Member): string {
  const shown = `${id.slice(0, SHOWN_ID_LENGTH)}@${address}`;
  return voter ? shown : `${shown} (learner)`;
}

export class StatusLog {
  readonly #log: Logger;
  #members: MemberList | undefined;
  #role: MemberRole | undefined;
  #term = -1;

  /** @param log receives one line per change */
  constructor(log: Logger) {
    this.#log = log;
  }

  /** @param status current status of the member */
  update(status: ConsensusStatus): void {
    const {id, role, term, members, lastIndex, commitIndex} = status;
    const isUnchanged =
      role === this.#role && term === this.#term && members === this.#members;
    if (isUnchanged) return;
    this.#role = role;
    this.#term = term;
    this.#members = members;
    this.#log.info('member believes', {
      member: id.slice(0, SHOWN_ID_LENGTH),
      state: role,
      term,
      members: members.map(describe).join(' '),
      lastIndex,
      commitIndex,
      snapshotIndex: status.snapshotIndex,
    });
  }
}
