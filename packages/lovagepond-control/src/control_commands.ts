/**
 * The commands of control's replicated log: typed constants, their payloads,
 * and their coding as versioned JSON.
 */
import {
  type Command,
  type ConfigurationContent,
  createCommand,
  invariant,
  packText,
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

/** Version of the coding; a member stops at one it doesn't know. */
const COMMAND_VERSION = 1;

/**
 * Version of the set of commands. A leader proposes a command that this version
 * has brought only while no member that follows it is of an earlier one.
 */
export const LOG_VERSION = 1;

/** Names an operator's operation and what it asks for. */
export interface OperationIdentity {
  readonly operationId: string;
  /** Digest of the operation: another one under the same id is refused. */
  readonly digest: string;
}

/** Changes the configuration when its base revision is the current one. */
export interface ChangePayload extends OperationIdentity {
  readonly baseRevision: number;
  /** Checked by the proposer as a change of the base revision. */
  readonly edit: ConfigurationEdit;
}

/** Puts a whole configuration in force when its version is the highest. */
export interface InstallPayload {
  readonly version: number;
  readonly content: ConfigurationContent;
  /** What the operators sent, to be read back as it was. */
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

/** What became of a claimed call. */
export type CallOutcome = 'ran' | 'notRun' | 'unknown';

/** Records what became of a claimed call. */
export interface RecordPayload {
  readonly workspace: string;
  readonly key: string;
  readonly attempt: string;
  readonly outcome: CallOutcome;
  readonly status: number;
  /** The answer's body, base64; absent when it is too large to keep. */
  readonly answer?: string;
  readonly contentType: string;
}

/** Makes an incarnation the only one of its sidecar that may claim. */
export interface IncarnationPayload {
  readonly server: string;
  readonly incarnation: string;
}

/** Sets what control wants of a backend server. */
export interface WantedStatePayload extends OperationIdentity {
  readonly server: string;
  readonly wantedState: WantedState;
}

/** Records how an order ended. */
export interface OrderOutcomePayload {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly backendServer: string;
  readonly outcome: OrderOutcomeKind;
  readonly message: string;
}

/** Records which requests ran at servers that crashed. */
export interface CrashesPayload {
  readonly crashes: readonly {
    readonly server: string;
    readonly requests: readonly string[];
    /** Milliseconds since the crash when this was proposed. */
    readonly ageMs: number;
  }[];
  /** Suspected requests that a server answered whole. */
  readonly answered: readonly string[];
}

/** Result of {@link CRASHES_COMMAND}. */
export interface CrashesResult {
  /** Requests that are quarantined by it. */
  readonly quarantined: readonly string[];
}

/**
 * Limits of the replicated state. They travel in the log: members that read
 * them from their own settings would expire differently and come apart.
 */
export interface ControlLimits extends LedgerLimits {
  /** Revisions whose content is kept for a restore. */
  readonly historyLimit: number;
}

/** Sets the limits that all members share. */
export const LIMITS_COMMAND = createCommand<ControlLimits>('limits');
/** Puts a configuration in force when its base revision is the current one. */
export const CHANGE_COMMAND = createCommand<ChangePayload>('change');
/** Puts a whole configuration in force by the operators' own numbers. */
export const INSTALL_COMMAND = createCommand<InstallPayload>('install');
/** Claims a call that may not be repeated, before it is dispatched. */
export const CLAIM_COMMAND = createCommand<ClaimPayload>('claim');
/** Records the outcome of a claimed call. */
export const RECORD_COMMAND = createCommand<RecordPayload>('record');
/** Registers a sidecar's incarnation, which supersedes those before it. */
export const INCARNATION_COMMAND =
  createCommand<IncarnationPayload>('incarnation');
/** Drains a backend server, or lets it serve again. */
export const WANTED_STATE_COMMAND =
  createCommand<WantedStatePayload>('wantedState');
/** Issues an order with the next fencing token. */
export const ORDER_COMMAND = createCommand<OrderRequest>('order');
/** Takes a backend server without a sidecar into the table. */
export const JOIN_SERVER_COMMAND = createCommand<{
  readonly server: JoiningServer;
}>('joinServer');
/** Says that such a server leaves and gets no new work. */
export const LEAVE_SERVER_COMMAND = createCommand<{
  readonly name: string;
}>('leaveServer');
/** Takes a server out for good. */
export const END_SERVER_COMMAND = createCommand<{
  readonly name: string;
}>('endServer');
/** Takes servers out that went silent. */
export const DROP_SERVERS_COMMAND = createCommand<{
  readonly names: readonly string[];
}>('dropServers');
/** Gives places to servers that stood by, and closes vacant ones. */
export const OPEN_PLACES_COMMAND =
  createCommand<Readonly<Record<string, never>>>('openPlaces');
/** Records crashes of servers and the requests that they ran. */
export const CRASHES_COMMAND = createCommand<CrashesPayload>('crashes');
/** Lets a quarantined request run again. */
export const LIFT_QUARANTINE_COMMAND = createCommand<{
  readonly request: string;
}>('liftQuarantine');
/** Records how an order ended. */
export const ORDER_OUTCOME_COMMAND =
  createCommand<OrderOutcomePayload>('orderOutcome');

/** What the proposer adds to each command, so that all members agree on it. */
export interface CommandStamp {
  /** Replicated time, milliseconds; see {@link ReplicatedTime}. */
  readonly timeMs: number;
  /** Milliseconds since the Unix epoch; shown to operators, decides nothing. */
  readonly wallTimeMs: number;
  /** Term of the proposing leader. */
  readonly term: number;
}

/** A command as it stands in the log. */
export interface LoggedCommand<Payload = unknown> {
  readonly name: string;
  readonly stamp: CommandStamp;
  readonly payload: Payload;
}

/** Coded form: short member names, as most of a claim's bytes are the head. */
interface EncodedCommand {
  readonly v: number;
  readonly n: string;
  readonly s: readonly [timeMs: number, wallTimeMs: number, term: number];
  readonly p: unknown;
}

/** A failure among results; no result has this member. */
interface EncodedFailure {
  readonly commandFailed: string;
}

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * @param command the command constant
 * @param payload its payload
 * @param stamp time and term of the proposer
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
 * @throws InvariantError for a version this program doesn't know: to skip the
 *     command would make this member's state differ from the others'
 */
export function decodeCommand(bytes: Uint8Array): LoggedCommand {
  const encoded = JSON.parse(unpackText(bytes)) as EncodedCommand;
  invariant(encoded.v === COMMAND_VERSION, 200, 'unknown command version');
  const [timeMs, wallTimeMs, term] = encoded.s;
  return {
    name: encoded.n,
    stamp: {timeMs, wallTimeMs, term},
    payload: encoded.p,
  };
}

/**
 * @param result what a command's handler returned
 * @returns its bytes for the proposer
 */
export function encodeResult(result: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(result));
}

/**
 * @param message why a command's handler failed
 * @returns its bytes for the proposer
 */
export function encodeFailure(message: string): Uint8Array {
  const failure: EncodedFailure = {commandFailed: message};
  return encodeResult(failure);
}

/**
 * @param bytes what {@link encodeResult} or {@link encodeFailure} made
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
