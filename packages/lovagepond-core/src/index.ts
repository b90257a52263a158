export {
  type Command,
  CommandBus,
  type CommandListener,
  createCommand,
} from './core_commands.js';
export {
  type CallerLimits,
  type Configuration,
  type ConfigurationContent,
  configurationSchema,
  decodeConfiguration,
  EMPTY_CONFIGURATION,
  encodeConfiguration,
  type Forwarding,
  labelsOfPool,
  needsApiKeys,
  type Pool,
  POOL_KIND,
  type RequestKind,
  type Selector,
  type PoolAdmissionLimits,
  type WarmUpLimits,
  type Workspace,
} from './core_configuration.js';
export {
  checkConfiguration,
  type ConfigurationCheck,
  type ConfigurationFault,
} from './core_configuration_check.js';
export {DrainBound} from './core_drain_bound.js';
export {
  answerFor,
  type Disposition,
  DISPOSITION,
  ERROR_ANSWERS,
  type ErrorAnswer,
  type ErrorKind,
  type Failure,
  makeFailure,
  parseErrorKind,
  type Result,
} from './core_errors.js';
export {
  applyDelta,
  CONFIGURATION_SECTIONS,
  type ConfigurationDelta,
  type ConfigurationSection,
  decodeDelta,
  encodeDelta,
  isSameObject,
  makeDelta,
  type NamedObject,
  shareObjects,
} from './core_configuration_delta.js';
export {
  CRASH_RULES,
  CrashEvidence,
  type CrashRules,
  type Suspect,
} from './core_crash_evidence.js';
export {
  type CrashEvidenceSnapshot,
  type ServerCrash,
} from './core_crash_records.js';
export {
  type CrashSubject,
  partIdOf,
  type RequestSubjects,
  toPartSubject,
  toRequestSubjects,
} from './core_crash_subjects.js';
export {ControlAddresses} from './core_control_addresses.js';
export {invariant, InvariantError} from './core_invariant.js';
export {packText, unpackText} from './core_packing.js';
export {
  type LabelExpression,
  type Labels,
  type LabelTerm,
  matchesLabels,
  parseLabelExpression,
} from './core_labels.js';
export {decodeLoad, encodeLoad} from './core_load_digest.js';
export {type RegionCheck, regionCheckOf} from './core_regions.js';
export {parseSocketAddress, type SocketAddress} from './core_socket_address.js';
export {readPauseMs, ServerPauses} from './core_server_pauses.js';
export {
  type BackendServer,
  EMPTY_MEMBERSHIP,
  isDirect,
  type Membership,
  SERVER_STATE,
  type ServerState,
  type WarmUp,
} from './core_membership.js';
export {Published, type PublishedListener} from './core_published.js';
export {Random} from './core_random.js';
export {mergeRegister, type Unregister} from './core_registration.js';
export {
  type Clock,
  type DrainResult,
  type LogFields,
  type Logger,
  type Role,
  type StateDump,
  sumDrainResults,
} from './core_role.js';
export {z} from './core_schema.js';
export {type PoolSpans, RequestSpans} from './core_request_spans.js';
export {
  ResponseDurations,
  type ResponseTimes,
  type ResponseWork,
} from './core_response_durations.js';
export {
  REQUEST_SPAN_MS,
  RETRY_ANSWER_MS,
  RETRY_ARRIVAL_MS,
  RETRY_VALID_MS,
  type RetryAllowance,
} from './core_retry_allowance.js';
export {heartbeatIntervalMs, listAgeLimitMs} from './core_list_age.js';
export {FIRST_FINAL_STATUS, LAST_STATUS} from './core_http_status.js';
