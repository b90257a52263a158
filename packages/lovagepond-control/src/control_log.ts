/**
 * The replicated log as control uses it: the consensus package's node.
 */
import {type ConsensusNode} from '@lovagepond/consensus';

/** What control needs of its consensus node. */
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
