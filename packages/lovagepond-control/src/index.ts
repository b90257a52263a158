export {
  type ChangeAnswer,
  type ChangeRequest,
  type ConfigurationDifference,
  type ConfigurationSection,
  type ControlAdministration,
  type ControlMemberView,
  type ConvergenceView,
  type HistoryEntry,
  type MemberChange,
  type NotDone,
  type Operation,
  type OperationAnswer,
  ORDER_ACTION,
  ORDER_OUTCOME,
  type OrderAction,
  type OrderAnswer,
  type OrderOutcomeKind,
  type OrderRequest,
  type OrderView,
  type ServerView,
  WANTED_STATE,
  type WantedChange,
  type WantedState,
} from './control_administration.js';
export {type ControlParts, ControlRole} from './control_role.js';
export {MemberTransport} from './member_transport.js';
export {CONTROL_DEFAULTS, type ControlSettings} from './control_settings.js';
