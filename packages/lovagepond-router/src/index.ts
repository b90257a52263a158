export {RouterLoadView} from './router_load_view.js';
export {
  CANDIDATE_COUNT,
  type Placement,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementPolicyFactory,
  type PlacementRequest,
  type PlacementServer,
  type PlacementSettings,
} from './router_placement.js';
export {
  DEFAULT_PLACEMENT_POLICY,
  PLACEMENT_POLICIES,
  type PlacementPolicyName,
} from './router_placement_table.js';
export {type RendezvousServer, RendezvousTable} from './router_rendezvous.js';
export {
  type HashKey,
  type KeyHasher,
  loadKeyHasher,
  makeChatText,
} from './router_rendezvous_hash.js';
export {type Frame, type FrameBody} from './router_frames.js';
export {RequestMachine} from './router_request.js';
export {
  type Attempt,
  type RequestAction,
  type RequestEvent,
  type RevokeOutcome,
} from './router_request_types.js';
export {RouterRevisions} from './router_revisions.js';
export {
  type ChoiceQuery,
  type Chosen,
  ServerChoice,
} from './router_server_choice.js';
export {RouterState} from './router_state.js';
export {
  type CallerFront,
  type RouterDependencies,
  RouterRole,
} from './router_role.js';
export {
  DEFAULT_ROUTER_SETTINGS,
  PARTITION_POLICY,
  type PartitionPolicy,
  type RouterSettings,
} from './router_settings.js';
