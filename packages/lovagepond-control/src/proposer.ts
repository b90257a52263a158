/**
 * Proposes commands to the replicated log and decodes their results.
 */
import {MEMBER_ROLE} from '@lovagepond/consensus';
import {type Clock, type Command} from '@lovagepond/core';
import {decodeResult, encodeCommand} from './control_commands.js';
import {type RetryableFailure} from './control_administration.js';
import {type ReplicatedLog} from './control_log.js';
import {type ControlStateMachine} from './control_state_machine.js';

/** A command's result, or the reason for the failure. */
export type ProposalResult<Value> =
  {readonly kind: 'committed'; readonly value: Value} | RetryableFailure;

export interface ProposerDependencies {
  readonly log: ReplicatedLog;
  readonly machine: ControlStateMachine;
  readonly clock: Clock;
}

/** Proposes commands at this member. */
export class Proposer {
  readonly #deps: ProposerDependencies;

  constructor(deps: ProposerDependencies) {
    this.#deps = deps;
  }

  /**
   * @param command the kind of command
   * @param payload its payload
   * @returns its result once a majority has synced and this member applied it
   */
  async propose<Payload, Value>(
    command: Command<Payload>,
    payload: Payload,
  ): Promise<ProposalResult<Value>> {
    const {log, machine, clock} = this.#deps;
    const bytes = encodeCommand(command, payload, {
      timeMs: machine.time.stamp(clock.now()),
      wallTimeMs: clock.wallTime(),
      term: log.status().term,
    });
    const outcome = await log.propose(bytes);
    if (outcome.kind === 'committed') {
      return {kind: 'committed', value: decodeResult<Value>(outcome.result)};
    }
    if (outcome.kind === 'unknown') return {kind: 'unknown'};
    return {kind: 'notLeader', leader: outcome.leader?.address ?? ''};
  }

  /**
   * Runs a read barrier (read index).
   *
   * @param mayWait whether the confirmation may wait for the next heartbeat
   * @returns true once reads of this member's applied state are linearizable;
   *     false if the barrier failed
   */
  async confirm(mayWait = false): Promise<boolean> {
    return (await this.#deps.log.readBarrier(mayWait)).kind === 'ok';
  }

  /** @returns `host:port` of the leader; empty when none is known */
  leaderAddress(): string {
    return this.#deps.log.status().leader?.address ?? '';
  }

  /** @returns true while this member is the leader with a valid lease */
  leads(): boolean {
    const {role, leaseValid} = this.#deps.log.status();
    return role === MEMBER_ROLE.LEADER && leaseValid;
  }
}
