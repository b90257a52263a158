/**
 * Control's replicated state: configuration, ledger, orders, wanted states,
 * backend servers without a sidecar, crash evidence and evacuated zones.
 *
 * The state machine is deterministic: members that applied the same commands
 * hold the same state and returned the same results.
 */
import {
  type BackendServer,
  type Command,
  CRASH_RULES,
  CrashEvidence,
  type CrashEvidenceSnapshot,
  invariant,
  packText,
  unpackText,
} from '@lovagepond/core';
import {
  CHANGE_COMMAND,
  CLAIM_COMMAND,
  type CommandStamp,
  type ControlLimits,
  CRASHES_COMMAND,
  type CrashesPayload,
  type CrashesResult,
  decodeCommand,
  DROP_SERVERS_COMMAND,
  encodeFailure,
  encodeResult,
  END_SERVER_COMMAND,
  EVACUATION_COMMAND,
  INCARNATION_COMMAND,
  INSTALL_COMMAND,
  JOIN_SERVER_COMMAND,
  LEAVE_SERVER_COMMAND,
  LIFT_QUARANTINE_COMMAND,
  LIMITS_COMMAND,
  OPEN_PLACES_COMMAND,
  WARM_UP_ROUTERS_COMMAND,
  ORDER_COMMAND,
  ORDER_OUTCOME_COMMAND,
  RECORD_COMMAND,
  RETRIES_COMMAND,
  WANTED_STATE_COMMAND,
} from './control_commands.js';
import {WANTED_STATE, type WantedState} from './control_administration.js';
import {type StateMachine} from '@lovagepond/consensus';
import {
  type ConfigurationSnapshot,
  ConfigurationState,
} from './configuration_state.js';
import {
  type DirectServerSnapshot,
  DirectServerTable,
} from './direct_server_table.js';
import {type LedgerSnapshot, LedgerState} from './ledger_state.js';
import {OperationResults, type OperationSnapshot} from './operation_results.js';
import {type OrderSnapshot, OrderState} from './order_state.js';
import {ReplicatedTime} from './replicated_time.js';
import {RetryGrants, type RetryGrantSnapshot} from './retry_grants.js';
import {StreamHistory, type StreamHistorySnapshot} from './stream_history.js';
import {WantedStates} from './wanted_states.js';
import {
  ZoneEvacuations,
  type ZoneEvacuationSnapshot,
} from './zone_evacuations.js';

const SNAPSHOT_VERSION = 1;

const NEWLINE = 0x0a;
const LINE_END = Uint8Array.of(NEWLINE);

interface ControlSnapshot {
  readonly version: number;
  readonly timeMs: number;
  readonly limits: ControlLimits;
  readonly configuration: ConfigurationSnapshot;
  readonly ledger: LedgerSnapshot;
  readonly operations: OperationSnapshot;
  readonly orders: OrderSnapshot;
  readonly draining: readonly string[];
  readonly directServers?: DirectServerSnapshot;
  readonly crashes?: CrashEvidenceSnapshot;
  readonly evacuations?: ZoneEvacuationSnapshot;
  readonly retries?: RetryGrantSnapshot;
  readonly streams?: StreamHistorySnapshot;
}

/** Commands that may add servers or remove them. */
const SERVER_COMMANDS: ReadonlySet<string> = new Set(
  [JOIN_SERVER_COMMAND, END_SERVER_COMMAND, DROP_SERVERS_COMMAND].map(
    ({name}) => name,
  ),
);

type Handler = (payload: unknown, stamp: CommandStamp) => unknown;

export class ControlStateMachine implements StateMachine {
  readonly configuration = new ConfigurationState(
    () => this.#limits.historyLimit,
  );
  readonly ledger = new LedgerState(() => this.#limits);
  readonly operations = new OperationResults();
  readonly orders = new OrderState();
  readonly wanted = new WantedStates();
  readonly directServers = new DirectServerTable();
  readonly crashes = new CrashEvidence();
  readonly evacuations = new ZoneEvacuations();
  readonly retries = new RetryGrants();
  readonly streams = new StreamHistory();
  readonly time = new ReplicatedTime();
  readonly #handlers = new Map<string, Handler>();
  readonly #now: () => number;
  #limits: ControlLimits;

  /**
   * @param limits limits until the log sets others; the same at all members
   * @param now reads the local monotonic time, which advances replicated time
   *     between commands and has no other effect
   */
  constructor(limits: ControlLimits, now: () => number) {
    this.#limits = pickLimits(limits);
    this.#now = now;
    this.#handleOperatorCommands();
    this.#handleNodeCommands();
    this.#handleDirectServerCommands();
    this.#handleCrashCommands();
  }

  /** The limits in force at all members. */
  get limits(): ControlLimits {
    return this.#limits;
  }

  /**
   * @param server a backend server's name and availability zone
   * @returns the state that operators request, of the server or of its zone
   */
  wantedStateOf(
    server: Pick<BackendServer, 'name' | 'availabilityZone'>,
  ): WantedState {
    return this.evacuations.isEvacuated(server.availabilityZone)
      ? WANTED_STATE.DRAINING
      : this.wanted.get(server.name);
  }

  apply(command: Uint8Array, _index: number): Uint8Array {
    const {name, stamp, payload} = decodeCommand(command);
    const handler = this.#handlers.get(name);
    invariant(handler, 201, `log holds an unknown command ${name}`);
    const timeMs = this.time.advance(stamp.timeMs, this.#now());
    const before = this.configuration.current.read();
    const result = runHandler(() => handler(payload, {...stamp, timeMs}));
    if (SERVER_COMMANDS.has(name)) {
      this.streams.noteServers(this.directServers.list(), timeMs);
    }
    const after = this.configuration.current.read();
    if (before !== after) {
      const {selectors} = after.content;
      this.streams.noteSelectors(before.content.selectors, selectors, timeMs);
    }
    return result;
  }

  snapshot(): Uint8Array {
    const snapshot: ControlSnapshot = {
      version: SNAPSHOT_VERSION,
      timeMs: this.time.timeMs,
      limits: this.#limits,
      configuration: this.configuration.snapshot(),
      ledger: this.ledger.snapshot(),
      operations: this.operations.snapshot(),
      orders: this.orders.snapshot(),
      draining: this.wanted.snapshot(),
      directServers: this.directServers.snapshot(),
      crashes: this.crashes.snapshot(),
      evacuations: this.evacuations.snapshot(),
      retries: this.retries.snapshot(),
      streams: this.streams.snapshot(),
    };
    const lines = this.ledger.encodeEntries();
    return Buffer.concat([packHead(snapshot), LINE_END, ...lines]);
  }

  restore(bytes: Uint8Array): void {
    const headEnd = bytes.indexOf(NEWLINE);
    const head = bytes.subarray(0, headEnd);
    const snapshot = unpackHead(head);
    invariant(
      snapshot.version === SNAPSHOT_VERSION,
      202,
      'snapshot has an unknown version',
    );
    this.time.restore(snapshot.timeMs);
    this.#limits = snapshot.limits;
    this.ledger.restore(snapshot.ledger, bytes.subarray(headEnd + 1));
    this.operations.restore(snapshot.operations);
    this.orders.restore(snapshot.orders);
    this.wanted.restore(snapshot.draining);
    this.directServers.restore(snapshot.directServers);
    const servers = this.directServers.list();
    this.streams.restore(snapshot.streams, servers, snapshot.timeMs);
    this.crashes.restore(snapshot.crashes);
    this.evacuations.restore(snapshot.evacuations);
    this.retries.restore(snapshot.retries, this.#now());
    this.configuration.restore(snapshot.configuration);
  }

  #handle<Payload>(
    command: Command<Payload>,
    handler: (payload: Payload, stamp: CommandStamp) => unknown,
  ): void {
    this.#handlers.set(command.name, handler as Handler);
  }

  #handleOperatorCommands(): void {
    this.#handle(LIMITS_COMMAND, payload => {
      this.#limits = pickLimits(payload);
      return {};
    });
    this.#handle(CHANGE_COMMAND, (payload, stamp) =>
      this.operations.runOnce(payload, () =>
        this.configuration.apply(payload, stamp),
      ),
    );
    this.#handle(INSTALL_COMMAND, (payload, stamp) => ({
      version: this.configuration.install(payload, stamp),
    }));
    this.#handle(WANTED_STATE_COMMAND, payload =>
      this.operations.runOnce(payload, () => {
        this.wanted.set(payload.server, payload.wantedState);
        return {kind: 'accepted', revision: 0};
      }),
    );
    this.#handle(EVACUATION_COMMAND, (payload, {timeMs}) =>
      this.operations.runOnce(payload, () => {
        const {zone, evacuated, warmUpRouters} = payload;
        if (evacuated) this.evacuations.evacuate(zone, timeMs);
        else this.evacuations.resume(zone, timeMs, warmUpRouters);
        return {kind: 'accepted', revision: 0};
      }),
    );
    this.#handle(ORDER_COMMAND, (payload, {term}) =>
      this.orders.issue(payload, term),
    );
  }

  #handleDirectServerCommands(): void {
    const table = this.directServers;
    this.#handle(JOIN_SERVER_COMMAND, ({server}, {timeMs}) => {
      table.join(server, timeMs);
      return {};
    });
    this.#handle(LEAVE_SERVER_COMMAND, ({name}, {timeMs}) => {
      table.leave(name, timeMs);
      return {};
    });
    this.#handle(END_SERVER_COMMAND, ({name}, {timeMs}) => {
      table.end(name, timeMs);
      return {};
    });
    this.#handle(DROP_SERVERS_COMMAND, ({names}, {timeMs}) => {
      for (const name of names) table.drop(name, timeMs);
      return {};
    });
    this.#handle(WARM_UP_ROUTERS_COMMAND, ({servers}) => {
      for (const {name, routers} of servers) {
        table.nameWarmUpRouters(name, routers);
      }
      return {};
    });
    this.#handle(OPEN_PLACES_COMMAND, (_payload, {timeMs}) => {
      table.openPlaces(timeMs);
      return {};
    });
  }

  #handleCrashCommands(): void {
    this.#handle(CRASHES_COMMAND, (payload, {timeMs}) =>
      this.#recordCrashes(payload, timeMs),
    );
    this.#handle(
      LIFT_QUARANTINE_COMMAND,
      ({request, rules = CRASH_RULES.RECOUNTED}, {timeMs}) => ({
        known: this.crashes.forget(request, timeMs, rules),
      }),
    );
  }

  #recordCrashes(
    {crashes, answered, rules = CRASH_RULES.RECOUNTED}: CrashesPayload,
    timeMs: number,
  ): CrashesResult {
    const cleared = answered.filter(request =>
      this.crashes.forget(request, timeMs, rules),
    );
    const dated = crashes.map(({server, requests: logged, ageMs}) => {
      const requests = logged.map(one =>
        typeof one === 'string' ? [one] : one,
      );
      return {server, requests, crashedAt: timeMs - ageMs};
    });
    const outdated = dated.map(crash => this.crashes.clearedSince(crash));
    const quarantined = dated.flatMap(crash =>
      this.crashes.noteCrash(crash, timeMs, rules),
    );
    return {quarantined, cleared, outdated};
  }

  #handleNodeCommands(): void {
    this.#handle(CLAIM_COMMAND, (payload, {timeMs}) =>
      this.ledger.claim(payload, timeMs),
    );
    this.#handle(RECORD_COMMAND, (payload, {timeMs}) =>
      this.ledger.record(payload, timeMs),
    );
    this.#handle(INCARNATION_COMMAND, (payload, {timeMs}) =>
      this.ledger.registerIncarnation(payload, timeMs),
    );
    this.#handle(RETRIES_COMMAND, (payload, {timeMs}) => {
      this.retries.record(payload, timeMs, this.#now());
      return {};
    });
    this.#handle(ORDER_OUTCOME_COMMAND, payload => ({
      recorded: this.orders.recordOutcome(payload),
    }));
  }
}

/**
 * Returns a handler's error as a result. The command fails in the same way at
 * every member and at each replay of the log, so a thrown error would terminate
 * all members, one leader after another, and again after each restart.
 */
function runHandler(run: () => unknown): Uint8Array {
  try {
    return encodeResult(run());
  } catch (err) {
    return encodeFailure(err instanceof Error ? err.message : String(err));
  }
}

/** Limit of a snapshot's unpacked head, which holds several configurations. */
const MAX_HEAD_BYTES = 256 * 1024 * 1024;

const PACKED_HEAD_ENCODING = 'base64';

/**
 * Compresses the head, as each host that joins is sent a snapshot. Base64
 * avoids newlines in the compressed bytes, which would end the head.
 */
function packHead(head: ControlSnapshot): Buffer {
  const bytes = packText(JSON.stringify(head));
  return Buffer.from(Buffer.from(bytes).toString(PACKED_HEAD_ENCODING));
}

/** Decodes a head; earlier versions wrote it as plain JSON. */
function unpackHead(bytes: Uint8Array): ControlSnapshot {
  const text = Buffer.from(bytes).toString();
  const isPlain = text.startsWith('{');
  const packed = Buffer.from(text, PACKED_HEAD_ENCODING);
  const plain = isPlain ? text : unpackText(packed, MAX_HEAD_BYTES);
  return JSON.parse(plain) as ControlSnapshot;
}

/**
 * @param settings settings that include the limits
 * @returns only the limits, in a fixed order, so that their JSON is comparable
 */
export function pickLimits(settings: ControlLimits): ControlLimits {
  const {historyLimit, ledgerLimit, answerCharactersLimit} = settings;
  const {answerRetentionMs, keyRetentionMs, openClaimLimitMs} = settings;
  return {
    historyLimit,
    ledgerLimit,
    answerCharactersLimit,
    answerRetentionMs,
    keyRetentionMs,
    openClaimLimitMs,
  };
}
