/**
 * The part of the consensus node's interface that control uses.
 */
import {type ConsensusNode} from '@lovagepond/consensus';

export type ReplicatedLog = Pick<
  ConsensusNode,
  | 'addLearner'
  | 'onLeaderChange'
  | 'promote'
  | 'propose'
  | 'readBarrier'
  | 'removeMember'
  | 'replaceMember'
  | 'status'
>;
