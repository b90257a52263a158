/**
 * The measurements by their command-line names.
 *
 * A new measurement is one `*_measure.ts` file and one line here.
 */
import {measureBackend} from './backend_measure.js';
import {measureCaller} from './caller_measure.js';
import {measureConsensus} from './consensus_measure.js';
import {measureControl} from './control_measure.js';
import {measureDecisionCost} from './decision_cost_measure.js';
import {measureDrainEstimates} from './drain_estimates_measure.js';
import {measureGatewayConfiguration} from './gateway_configuration_measure.js';
import {measureGatewayCrashes} from './gateway_crashes_measure.js';
import {
  measureGatewayAblation,
  measureGatewaySimulations,
  measureGatewayWeights,
} from './gateway_simulation_measure.js';
import {measureGatewaySize} from './gateway_size_measure.js';
import {type MeasureFunction} from './measure_types.js';
import {measureMemory} from './memory_measure.js';
import {measureOverload} from './overload_measure.js';
import {measurePlacement} from './placement_measure.js';
import {measurePlacementScale} from './placement_scale_measure.js';
import {measureRouter} from './router_measure.js';
import {measureRetries} from './retries_measure.js';
import {measureSidecar} from './sidecar_measure.js';
import {measureColdServers} from './cold_servers_measure.js';
import {measureLoadBound} from './load_bound_measure.js';
import {measureStreamRecords} from './stream_records_measure.js';
import {measureWorkspaceShares} from './workspace_shares_measure.js';

/** Measurements by name; all run in this order when none is named. */
export const MEASUREMENTS: Readonly<Record<string, MeasureFunction>> = {
  placement: measurePlacement,
  'placement-scale': measurePlacementScale,
  consensus: measureConsensus,
  control: measureControl,
  'decision-cost': measureDecisionCost,
  sidecar: measureSidecar,
  caller: measureCaller,
  backend: measureBackend,
  'gateway-configuration': measureGatewayConfiguration,
  'stream-records': measureStreamRecords,
  'cold-servers': measureColdServers,
  'load-bound': measureLoadBound,
  retries: measureRetries,
  'drain-estimates': measureDrainEstimates,
  'gateway-plays': measureGatewaySimulations,
  'gateway-ablation': measureGatewayAblation,
  'gateway-weights': measureGatewayWeights,
  'gateway-crashes': measureGatewayCrashes,
  'gateway-size': measureGatewaySize,
  'workspace-shares': measureWorkspaceShares,
  overload: measureOverload,
  router: measureRouter,
  memory: async () => [await measureMemory()],
};
