/**
 * The classes with control's decision logic, which do no I/O, for property
 * tests and simulations in other packages.
 */
export {
  type AnyChangeRequest,
  ConfigurationChanger,
} from './configuration_changer.js';
export {
  CHANGE_COMMAND,
  CLAIM_COMMAND,
  type ClaimPayload,
  type CommandStamp,
  decodeResult,
  encodeCommand,
  INCARNATION_COMMAND,
  ORDER_COMMAND,
  ORDER_OUTCOME_COMMAND,
  RECORD_COMMAND,
  type RecordPayload,
  WANTED_STATE_COMMAND,
} from './control_commands.js';
export {toCrashesPayload, toQuarantineUpdate} from './crash_report_codec.js';
export {type ReplicatedLog} from './control_log.js';
export {ControlStateMachine} from './control_state_machine.js';
export {
  type ClaimResult,
  type IncarnationResult,
  type RecordResult,
} from './ledger_state.js';
export {DirectServerTable, type JoiningServer} from './direct_server_table.js';
export {MembershipLog} from './membership_log.js';
export {type ReadingReport} from './reading_report_log.js';
export {RunningRequestFeed} from './running_request_feed.js';
export {RunningRequestTotals} from './running_request_totals.js';
export {RouterReports} from './router_reports.js';
export {type Announcement} from './membership_record.js';
export {MembershipRegistry} from './membership_registry.js';
export {type IssueResult} from './order_state.js';
export {Proposer} from './proposer.js';
export {type FeedUpdate, type FeedView} from './subscription_feed.js';
export {SubscriptionHub, type UpdateSink} from './subscription_hub.js';
export {toWireDigest, UpdateEncoder} from './update_encoder.js';
export {
  grantKeptMs,
  requestKeptMs,
  retriesLeft,
  shareRetries,
  sumByPool,
  type WantedRetries,
} from './retry_decision.js';
export {type RetryGrant, RetryGrants} from './retry_grants.js';
export {RetryRequestCounts} from './retry_request_counts.js';
export {
  readReadings,
  readRequestCounts,
  readWantedRetries,
} from './wire_utils.js';
export {WorkspaceDemandFeed} from './workspace_demand_feed.js';
export {WorkspaceDemandTotals} from './workspace_demand_totals.js';
export {chooseWarmUpRouters} from './warm_up_decision.js';
