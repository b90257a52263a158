/**
 * What a member of the group is given: its disk, its links, its clock and the
 * state that the log's commands build.
 */
import {type Clock, type Logger, type Random} from '@lovagepond/core';
import {type ConsensusStorage} from './consensus_storage.js';
import {type ConsensusTransport} from './consensus_transport.js';
import {type StateMachine} from './consensus_types.js';

/** What a node is built from. */
export interface ConsensusDependencies {
  readonly stateMachine: StateMachine;
  readonly storage: ConsensusStorage;
  /**
   * Opens the same data anew after a failure, by storage that believes only
   * what it has written again. Without it a member whose storage failed stops
   * for good.
   */
  readonly reopenStorage?: () => ConsensusStorage;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /**
   * When this process was there, by the clock: no former one has promised
   * anything since. Without it the start of the member counts.
   */
  readonly processStartedAt?: number;
}
