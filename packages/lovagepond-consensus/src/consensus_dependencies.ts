/**
 * Dependencies of a member: storage, transport, clock and the state machine to
 * which the commands in the log are applied.
 */
import {type Clock, type Logger, type Random} from '@lovagepond/core';
import {type ConsensusStorage} from './consensus_storage.js';
import {type ConsensusTransport} from './consensus_transport.js';
import {type StateMachine} from './consensus_types.js';

export interface ConsensusDependencies {
  readonly stateMachine: StateMachine;
  readonly storage: ConsensusStorage;
  /**
   * Reopens the same data after a storage failure. The returned storage must
   * rewrite the data before it relies on it. Without this function, a member
   * stops for good when its storage fails.
   */
  readonly reopenStorage?: () => ConsensusStorage;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /**
   * Start of this process on `clock`; no earlier process gave a promise after
   * it. Defaults to the start of the member.
   */
  readonly processStartedAt?: number;
}
