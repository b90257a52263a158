/**
 * The commands of control's replicated log: typed constants, their payloads,
 * and their encoding as versioned JSON.
 */
import {
  type Command,
  type ConfigurationContent,
  type CrashRules,
  type CrashSubject,
  createCommand,
  invariant,
  packText,
  type RequestSubjects,
  unpackText,
} from '@lovagepond/core';
import {
  type OrderOutcomeKind,
  type OrderRequest,
  type WantedState,
} from './control_administration.js';
import {type ConfigurationEdit} from './configuration_edit.js';
import {type JoiningServer} from './direct_server_table.js';
import {type LedgerLimits} from './ledger_entries.js';
import {type RetryGrantPayload} from './retry_grants.js';

/** Version of the encoding; a member stops at a version it can't decode. */
const COMMAND_VERSION = 1;

/**
 * Version of the set of commands. A leader proposes a command that a version
 * added only while all of its followers have at least that version.
 */
export const LOG_VERSION = 5;

/** The version that added evacuations, and crashes that count once. */
export const EVACUATION_LOG_VERSION = 2;

/** The version that added crashes by the shared parts of prompts. */
export const PARTS_LOG_VERSION = 3;

/** The version that added routers of servers that had none when they joined. */
export const WARM_UP_LOG_VERSION = 4;

/** The version that added the retries that routers are granted. */
export const RETRY_LOG_VERSION = 5;

/** Identifies an operator's operation and its content. */
export interface OperationIdentity {
  readonly operationId: string;
  /** Digest of the operation; an id can't be reused with another digest. */
  readonly digest: string;
}

/** Changes the configuration when its base revision is the current one. */
export interface ChangePayload extends OperationIdentity {
  readonly baseRevision: number;
  /** Validated by the proposer against the base revision. */
  readonly edit: ConfigurationEdit;
}

/** Installs a complete configuration when its version is the highest. */
export interface InstallPayload {
  readonly version: number;
  readonly content: ConfigurationContent;
  /** The document as the operators sent it, to be read back unchanged. */
  readonly source: string;
}

/** Claims a key of the ledger for one attempt of one sidecar incarnation. */
export interface ClaimPayload {
  readonly workspace: string;
  readonly key: string;
  /** Digest of the request body, base64. */
  readonly digest: string;
  readonly server: string;
  readonly incarnation: string;
  readonly attempt: string;
}

/** Outcome of a claimed call. */
export type CallOutcome = 'ran' | 'notRun' | 'unknown';

/** Records the outcome of a claimed call. */
export interface RecordPayload {
  readonly workspace: string;
  readonly key: string;
  readonly attempt: string;
  readonly outcome: CallOutcome;
  readonly status: number;
  /** The answer's body, base64; absent when it is too large to store. */
  readonly answer?: string;
  readonly contentType: string;
}

/** Makes an incarnation the only one of its sidecar that may claim calls. */
export interface IncarnationPayload {
  readonly server: string;
  readonly incarnation: string;
}

/** Sets the wanted state of a backend server. */
export interface WantedStatePayload extends OperationIdentity {
  readonly server: string;
  readonly wantedState: WantedState;
}

/** Evacuates an availability zone, or returns it to service. */
export interface EvacuationPayload extends OperationIdentity {
  readonly zone: string;
  readonly evacuated: boolean;
  /** For a return: routers among which those of servers without are chosen. */
  readonly warmUpRouters?: readonly string[];
}

/** Records how an order ended. */
export interface OrderOutcomePayload {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly backendServer: string;
  readonly outcome: OrderOutcomeKind;
  readonly message: string;
}

/** Records which requests were running on backend servers that crashed. */
export interface CrashesPayload {
  readonly crashes: readonly {
    readonly server: string;
    /** Before {@link PARTS_LOG_VERSION} only the fingerprints. */
    readonly requests: readonly (string | RequestSubjects)[];
    /** Milliseconds from the crash to the proposal of this command. */
    readonly ageMs: number;
  }[];
  /** Suspects that a backend server has since answered completely. */
  readonly answered: readonly CrashSubject[];
  /** Absent in commands of earlier releases, for the first rules. */
  readonly rules?: CrashRules;
}

/** Lifts a quarantine. */
export interface LiftPayload {
  readonly request: CrashSubject;
  /** Absent in commands of earlier releases, for the first rules. */
  readonly rules?: CrashRules;
}

export interface CrashesResult {
  /** Subjects that the command quarantines. */
  readonly quarantined: readonly CrashSubject[];
  /** Subjects whose evidence was dropped, as a server answered them. */
  readonly cleared: readonly CrashSubject[];
  /**
   * For each crash, the subjects for which it doesn't count, as they were
   * cleared since.
   */
  readonly outdated: readonly (readonly CrashSubject[])[];
}

/**
 * Limits of the replicated state. They are replicated through the log: if each
 * member read them from its own settings, members would expire entries at
 * different commands and their states would diverge.
 */
export interface ControlLimits extends LedgerLimits {
  /** Revisions whose content is retained for a restore. */
  readonly historyLimit: number;
}

export const LIMITS_COMMAND = createCommand<ControlLimits>('limits');
export const CHANGE_COMMAND = createCommand<ChangePayload>('change');
export const INSTALL_COMMAND = createCommand<InstallPayload>('install');
/** Claims a non-repeatable call before it is dispatched. */
export const CLAIM_COMMAND = createCommand<ClaimPayload>('claim');
/** Records the outcome of a claimed call. */
export const RECORD_COMMAND = createCommand<RecordPayload>('record');
/** Registers a sidecar's incarnation, which supersedes all previous ones. */
export const INCARNATION_COMMAND =
  createCommand<IncarnationPayload>('incarnation');
/** Drains a backend server, or returns it to service. */
export const WANTED_STATE_COMMAND =
  createCommand<WantedStatePayload>('wantedState');
/** Issues an order with the next fencing token. */
export const ORDER_COMMAND = createCommand<OrderRequest>('order');
/** Adds a backend server without a sidecar to the table. */
export const JOIN_SERVER_COMMAND = createCommand<{
  readonly server: JoiningServer;
}>('joinServer');
/** Marks such a server as leaving, so that it gets no new work. */
export const LEAVE_SERVER_COMMAND = createCommand<{
  readonly name: string;
}>('leaveServer');
/** Removes a server permanently. */
export const END_SERVER_COMMAND = createCommand<{
  readonly name: string;
}>('endServer');
/** Removes servers whose lease expired; they may join again. */
export const DROP_SERVERS_COMMAND = createCommand<{
  readonly names: readonly string[];
}>('dropServers');
/** Names the routers for the warm-ups of servers that have none. */
export const WARM_UP_ROUTERS_COMMAND = createCommand<{
  readonly servers: readonly {
    readonly name: string;
    readonly routers: readonly string[];
  }[];
}>('warmUpRouters');
/** Assigns places to standby servers, and discards places long vacant. */
export const OPEN_PLACES_COMMAND =
  createCommand<Readonly<Record<string, never>>>('openPlaces');
/** Records crashes of backend servers and the requests running on them. */
export const CRASHES_COMMAND = createCommand<CrashesPayload>('crashes');
/** Lifts the quarantine of a request. */
export const LIFT_QUARANTINE_COMMAND =
  createCommand<LiftPayload>('liftQuarantine');
/** Evacuates an availability zone, or returns it to service. */
export const EVACUATION_COMMAND =
  createCommand<EvacuationPayload>('evacuation');
/** Records how an order ended. */
export const ORDER_OUTCOME_COMMAND =
  createCommand<OrderOutcomePayload>('orderOutcome');

/** Grants retries to routers. */
export const RETRIES_COMMAND = createCommand<RetryGrantPayload>('retries');

/** Metadata that the proposer adds, so that all members use the same values. */
export interface CommandStamp {
  /** Replicated time, milliseconds; see {@link ReplicatedTime}. */
  readonly timeMs: number;
  /** Milliseconds since the Unix epoch; for display, not for decisions. */
  readonly wallTimeMs: number;
  /** Term of the proposing leader. */
  readonly term: number;
}

/** A decoded command from the log. */
export interface LoggedCommand<Payload = unknown> {
  readonly name: string;
  readonly stamp: CommandStamp;
  readonly payload: Payload;
}

/** Encoded form. Keys are short, as they dominate the size of a claim. */
interface EncodedCommand {
  readonly v: number;
  readonly n: string;
  readonly s: readonly [timeMs: number, wallTimeMs: number, term: number];
  readonly p: unknown;
}

/** An encoded failure; no result has this property. */
interface EncodedFailure {
  readonly commandFailed: string;
}

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * @param command the command constant
 * @param payload its payload
 * @param stamp the proposer's stamp
 * @returns the bytes for the log
 */
export function encodeCommand<Payload>(
  command: Command<Payload>,
  payload: Payload,
  stamp: CommandStamp,
): Uint8Array {
  const encoded: EncodedCommand = {
    v: COMMAND_VERSION,
    n: command.name,
    s: [stamp.timeMs, stamp.wallTimeMs, stamp.term],
    p: payload,
  };
  return packText(JSON.stringify(encoded));
}

/**
 * @param bytes a command from the log
 * @returns the command
 * @throws InvariantError for an unknown version: if this member skipped the
 *     command, its state would diverge from that of the others
 */
export function decodeCommand(bytes: Uint8Array): LoggedCommand {
  const encoded = JSON.parse(unpackText(bytes)) as EncodedCommand;
  invariant(
    encoded.v === COMMAND_VERSION,
    200,
    'log command has an unknown encoding version',
  );
  const [timeMs, wallTimeMs, term] = encoded.s;
  return {
    name: encoded.n,
    stamp: {timeMs, wallTimeMs, term},
    payload: encoded.p,
  };
}

/**
 * @param result the return value of a command's handler
 * @returns the encoded result for the proposer
 */
export function encodeResult(result: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(result));
}

/**
 * @param message why a command's handler failed
 * @returns the encoded failure for the proposer
 */
export function encodeFailure(message: string): Uint8Array {
  const failure: EncodedFailure = {commandFailed: message};
  return encodeResult(failure);
}

/**
 * @param bytes the output of {@link encodeResult} or {@link encodeFailure}
 * @returns the result
 * @throws Error when the command's handler failed
 */
export function decodeResult<Value>(bytes: Uint8Array): Value {
  const result = JSON.parse(decoder.decode(bytes)) as Value | EncodedFailure;
  if (isFailure(result)) {
    throw new Error(`command failed: ${result.commandFailed}`);
  }
  return result;
}

function isFailure(result: unknown): result is EncodedFailure {
  return (
    typeof result === 'object' && result !== null && 'commandFailed' in result
  );
}
