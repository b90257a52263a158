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
