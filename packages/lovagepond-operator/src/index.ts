export {
  type Administration,
  type AdministrationRefusal,
  type BackendServerStatus,
  type ConfigurationChange,
  type ConfigurationDifference,
  type ConfigurationOutcome,
  type ConfigurationRestore,
  type ConvergenceStatus,
  type HistoryEntry,
  type MemberChange,
  type MemberStatus,
  type NodeConvergence,
  type OperationOutcome,
  ORDER_ACTION,
  type OrderAction,
  type OrderRequest,
  type OrderStatus,
} from './operator_administration.js';
export {
  compareConfigurations,
  CONFIGURATION_SECTIONS,
  type ConfigurationSection,
} from './operator_differences.js';
export {AdministrationServer} from './operator_server.js';
export {
  DEFAULT_OPERATOR_SETTINGS,
  isLoopback,
  type OperatorSettings,
} from './operator_settings.js';
