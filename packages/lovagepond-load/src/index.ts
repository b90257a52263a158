export {
  FairQueue,
  type FairQueueItem,
  type WeightOf,
} from './load_fair_queue.js';
export {type AdmissionState} from './load_admission_counts.js';
export {AdmissionQueue, type QueuedRequest} from './load_admission_queue.js';
export {DispatchWindow, type WindowAttempt} from './load_dispatch_window.js';
export {PoolAdmission} from './load_pool_admission.js';
export {bestServerOf} from './load_queued_request.js';
export {RetryAdvice} from './load_retry_advice.js';
export {
  type CapacityDescription,
  type RequestWork,
  ServerCapacity,
  type ServerLoadView,
  SLOWDOWN_PERCENT,
} from './load_server_capacity.js';
export {hasPrefillChanged} from './load_prefill_change.js';
export {
  type MeanCapacity,
  type ObservedCapacity,
  PoolMeans,
} from './load_pool_means.js';
export {
  type DemandSums,
  isPlausibleDemand,
  isPlausibleWork,
} from './load_demand.js';
export {DemandMeter, type MeasuredDemand} from './load_demand_meter.js';
export {maxMinLevel, type WeightedDemand} from './load_max_min.js';
export * from './load_types.js';
export {
  type ShareView,
  WorkspaceShares,
  type WorkspaceShareView,
} from './load_workspace_shares.js';
export {WorkspaceWork} from './load_work_rate.js';
