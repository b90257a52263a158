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
export {type PauseInputs, pausedStreams} from './load_stream_pause.js';
export * from './load_types.js';
