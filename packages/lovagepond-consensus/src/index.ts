export {
  type AppendReply,
  type AppendRequest,
  type ConsensusMessage,
  type PreVoteReply,
  type PreVoteRequest,
  type SnapshotChunk,
  type SnapshotReply,
  type VoteReply,
  type VoteRequest,
} from './consensus_messages.js';
export {
  type AppliedListener,
  ConsensusNode,
  type ConsensusParts,
  type LeaderListener,
} from './consensus_node.js';
export {
  type ConsensusStorage,
  MemoryStorage,
  type StorageWrite,
  type StoredState,
} from './consensus_storage.js';
export {
  type ConsensusTransport,
  MemoryNetwork,
  type MessageListener,
} from './consensus_transport.js';
export {
  CHANGE_REFUSAL,
  type ChangeOutcome,
  type ChangeRefusal,
  type ConsensusSettings,
  type ConsensusStatus,
  type ConsensusTimings,
  DEFAULT_CONSENSUS_TIMINGS,
  ENTRY_KIND,
  type EntryKind,
  type HardState,
  type LogEntry,
  type Member,
  MEMBER_ROLE,
  type MemberId,
  type MemberList,
  type MemberRole,
  type ProposeOutcome,
  type ReadOutcome,
  type Snapshot,
  type StateMachine,
} from './consensus_types.js';
