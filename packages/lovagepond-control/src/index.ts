export {
  type ChangeAnswer,
  type ChangeRequest,
  type ConfigurationDifference,
  type ControlAdministration,
  type ControlMemberView,
  type ConvergenceView,
  type HistoryEntry,
  type MemberChange,
  type Operation,
  type OperationAnswer,
  ORDER_ACTION,
  ORDER_OUTCOME,
  type OrderAction,
  type OrderAnswer,
  type OrderOutcomeKind,
  type OrderRequest,
  type OrderView,
  type RequestedChange,
  type RetryableFailure,
  type ServerView,
  type SuspectView,
  WANTED_STATE,
  type WantedState,
  type ZoneView,
} from './control_administration.js';
export {
  ConfigurationDocuments,
  type DocumentAnswer,
  type InstallAnswer,
  type UncheckedDocument,
} from './configuration_documents.js';
export {type ConfigurationDocument} from './configuration_state.js';
export {
  type AnnouncementAnswer,
  type DirectAnnouncement,
  DirectServers,
  type ServerInstance,
} from './direct_servers.js';
export {PauseRequestedError} from './context_inventory.js';
export {type ControlDependencies, ControlRole} from './control_role.js';
export {MemberTransport} from './member_transport.js';
export {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  type ControlSettings,
} from './control_settings.js';
export {
  CHANGE_COMMAND,
  CLAIM_COMMAND,
  type ClaimPayload,
  type CommandStamp,
  type ControlLimits,
  decodeCommand,
  encodeCommand,
  RECORD_COMMAND,
} from './control_commands.js';
export {ControlStateMachine} from './control_state_machine.js';
export {LedgerHandler} from './ledger_handler.js';
export {type LedgerLimits} from './ledger_entries.js';
export {type ClaimResult, LedgerState} from './ledger_state.js';
export {MembershipLog} from './membership_log.js';
export {type Announcement} from './membership_record.js';
export {MembershipRegistry} from './membership_registry.js';
export {Proposer} from './proposer.js';
export {ReadingReportLog} from './reading_report_log.js';
export {RunningRequestTotals} from './running_request_totals.js';
export {type FeedUpdate, type FeedView} from './subscription_feed.js';
export {SubscriptionHub, type UpdateSink} from './subscription_hub.js';
export {UpdateEncoder} from './update_encoder.js';
export {WorkspaceDemandTotals} from './workspace_demand_totals.js';
