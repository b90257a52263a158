export {
  type AdmissionSettings,
  type PoolMean,
  SidecarAdmission,
} from './sidecar_admission.js';
export {
  ATTEMPT_STATE,
  type AttemptState,
  REVOKE_OUTCOME,
  type RevokeOutcome,
  SidecarAttempts,
} from './sidecar_attempts.js';
export {type Backend} from './sidecar_backend.js';
export {chatNumber, SidecarCacheIndex} from './sidecar_cache_index.js';
export {
  type ClaimAction,
  type ClaimAnswer,
  SidecarClaims,
} from './sidecar_claims.js';
export {
  type FencedOrder,
  ORDER_VERDICT,
  type OrderVerdict,
  SidecarFencing,
} from './sidecar_fencing.js';
export {SidecarGate} from './sidecar_gate.js';
export {type HeldQueue, type HeldRequest} from './sidecar_held_queue.js';
export {SidecarPointers} from './sidecar_pointers.js';
export {
  REVISION_CHECK,
  type RevisionCheck,
  SidecarRevisions,
} from './sidecar_revisions.js';
export {type SidecarDependencies, SidecarRole} from './sidecar_role.js';
export {
  type BackendKind,
  DEFAULT_SIDECAR_SETTINGS,
  PARTITION_POLICY,
  type PartitionPolicy,
  type SidecarSettings,
} from './sidecar_settings.js';
export {
  DEFAULT_TAKER_SETTINGS,
  type PeerLoad,
  SidecarTaker,
  type TakerSettings,
} from './sidecar_take.js';
export {
  type ChatWarmth,
  DEFAULT_GATE_POLICY,
  DEFAULT_GATE_SETTINGS,
  type GateAction,
  type GateLoad,
  type GatePolicy,
  type GateSettings,
  type HandOver,
  type Offer,
  type RefuseAction,
  type RevokeResult,
  type RunEnd,
  type Warmth,
  WARMTH,
  type WorkspaceShare,
} from './sidecar_types.js';
