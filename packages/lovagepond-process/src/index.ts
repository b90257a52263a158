export {
  EXIT_CODE,
  EXIT_CODE_MEANINGS,
  type ExitCode,
} from './exit_codes_constants.js';
export {BodyBudget} from './http_body_budget.js';
export {
  limitRest,
  ResponseDelivery,
  sendWhole,
  type WholeResponse,
} from './http_delivery.js';
export {
  DEFAULT_HTTP_LIMITS,
  HTTP_SERVER_OPTIONS,
  type HttpLimits,
} from './http_limits.js';
export {type DroppedLines, LogLimiter} from './log_limiter.js';
export {SystemClock} from './process_clock.js';
export {
  Lifecycle,
  LIFECYCLE_EVENT,
  type LifecycleAction,
  type LifecycleEvent,
  type LifecycleSettings,
} from './process_lifecycle.js';
export {
  LOG_LEVEL,
  type LogLevel,
  type LogWriter,
  RoarrLogger,
} from './process_logger.js';
export {
  MetricsRegistry,
  type ObservedMetric,
  type RenderedMetrics,
  type Sample,
} from './metrics_registry.js';
export {PlatformServer, type PlatformView} from './process_server.js';
export {registerSignals} from './process_signals.js';
export {exitOnStalledOutput} from './process_end.js';
export {readText, type TextFailure, type TextResult} from './request_text.js';
export {registerProcessMetrics} from './process_metrics.js';
export {
  type ProcessDependencies,
  ProcessRunner,
  type ProcessSettings,
} from './process_runner.js';
export {
  formatFault,
  SettingsError,
  type SettingsFault,
} from './settings_errors.js';
export {
  checkSettings,
  findOverlaps,
  findSharedFolders,
  type ListenAddress,
  type OwnedFolder,
  type ParsedSettings,
  parseSettings,
  readSettings,
  type SettingsCheck,
} from './settings_file.js';
export {type ChangedKey, compareSettings} from './settings_reload.js';
export {
  type FileSchema,
  type FileValues,
  type KeyTraits,
  type SectionSchema,
  withTraits,
} from './settings_schema.js';
export {
  boolean,
  decimal,
  duration,
  filledText,
  formatHostPort,
  hostPort,
  type HostPort,
  httpUrl,
  integer,
  list,
  nameText,
  oneOf,
  parseHostPort,
  percentage,
  size,
} from './settings_units.js';
export {MAX_DUMP_BYTES, renderDump} from './state_dump.js';
