export {
  type AppliedListener,
  type LeaderListener,
} from './consensus_action_performer.js';
export {type CoreOptions} from './consensus_member_state.js';
export {ConsensusCore, type Proposal} from './consensus_core.js';
export {type Disk, type DiskFile, NodeDisk} from './consensus_disk.js';
export {FileStorage} from './consensus_file_storage.js';
export {type MemberChange} from './consensus_members.js';
export {
  type AppendReply,
  type AppendRequest,
  type ConsensusMessage,
  type FormationMessage,
  type HelloReply,
  type HelloRequest,
  type PreVoteReply,
  type PreVoteRequest,
  type SnapshotChunk,
  type SnapshotReply,
  type TransportMessage,
  type VoteReply,
  type VoteRequest,
} from './consensus_messages.js';
export {ConsensusNode} from './consensus_node.js';
export {type ConsensusDependencies} from './consensus_dependencies.js';
export {type ConsensusAction} from './consensus_outbox.js';
export {
  type ConsensusStorage,
  MemoryStorage,
  type StorageWrite,
  type StoredState,
} from './consensus_storage.js';
export {StorageError, type StorageFailure} from './consensus_storage_errors.js';
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
