/**
 * The decision logic of a gateway, free of I/O, for simulations in virtual
 * time.
 */
export {ResponseTiming} from './gateway_response_timing.js';
export {GatewayChoice, type ServerChoice} from './gateway_choice.js';
export {ExchangePermit} from './gateway_exchange_permit.js';
export {SEND_DECISION, SendPermit} from './gateway_send_permit.js';
export {GatewayWarmUp} from './gateway_warm_up.js';
export {FullServersWait} from './gateway_full_servers_wait.js';
export {GatewayCrashDetector, REACHABILITY} from './gateway_crash_detector.js';
export {type ContextFetch} from './gateway_context_source.js';
export {ENGINE_WEIGHTS, type EngineWeights} from './gateway_engine_choice.js';
export {GatewayFleet} from './gateway_fleet.js';
export {type PromptPart} from './gateway_headers.js';
export {
  type AttemptOutcome,
  decideNext,
  type FinalStep,
} from './gateway_outcome.js';
export {PrefillRate} from './gateway_prefill_rate.js';
export {PrefillTracker} from './gateway_prefill_tracker.js';
export {GatewayLoadReports} from './gateway_load_reports.js';
export {type DemandSource, type OwnDemand} from './gateway_demand.js';
export {GatewayShares} from './gateway_shares.js';
export {GatewayRetries} from './gateway_retries.js';
export {isValid, type RetryCredit} from './gateway_retry_credit.js';
export {OwnRetries} from './gateway_own_retries.js';
export {type ForwardingRule, ForwardingRules} from './gateway_routes.js';
export {ServersWithoutRoom} from './gateway_servers_without_room.js';
export {ServerState} from './gateway_server_state.js';
export {StreamDirectory} from './gateway_stream_directory.js';
export {LoadLimits} from './gateway_load_limit.js';
export {PeerAddresses} from './gateway_peer_addresses.js';
export {decodeDatagram} from './gateway_peer_datagrams.js';
export {GatewayPermits} from './gateway_permits.js';
