import * as fc from 'fast-check';
import {type Command} from '@lovagepond/core';
import {expect, it} from 'vitest';
import {
  CHANGE_COMMAND,
  CLAIM_COMMAND,
  CRASHES_COMMAND,
  decodeResult,
  DROP_SERVERS_COMMAND,
  encodeCommand,
  END_SERVER_COMMAND,
  EVACUATION_COMMAND,
  INCARNATION_COMMAND,
  INSTALL_COMMAND,
  JOIN_SERVER_COMMAND,
  LEAVE_SERVER_COMMAND,
  LIFT_QUARANTINE_COMMAND,
  LIMITS_COMMAND,
  OPEN_PLACES_COMMAND,
  ORDER_COMMAND,
  ORDER_OUTCOME_COMMAND,
  RECORD_COMMAND,
  WANTED_STATE_COMMAND,
} from '../../control_commands.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine, pickLimits} from '../../control_state_machine.js';
import {type JoiningServer} from '../../direct_server_table.js';

const HOUR_MS = 3_600_000;

const LIMITS = pickLimits({
  ...CONTROL_DEFAULTS,
  historyLimit: 3,
  answerRetentionMs: HOUR_MS,
  keyRetentionMs: 2 * HOUR_MS,
  openClaimLimitMs: HOUR_MS / 2,
  ledgerLimit: 8,
  answerCharactersLimit: 24,
});

const CONTENT = {pools: [], selectors: [], workspaces: [], requestKinds: []};

/** Turns one number of a step into a few small ones. */
function split(n: number): readonly [number, number, number] {
  return [n % 3, Math.floor(n / 3) % 3, Math.floor(n / 9) % 3];
}

function makeServer(n: number): JoiningServer {
  const [name, zone, start] = split(n);
  return {
    name: `d${name}@${start}`,
    incarnation: `d${name}`,
    startedAtMs: start,
    pool: 'p',
    labels: {version: `v${start}`},
    availabilityZone: `z${zone}`,
    region: 'r',
    address: `a${name}:1`,
    capacityTokens: 0,
    models: [],
    directSlots: 4,
  };
}

type MakeCommand = (
  n: number,
  at: number,
) => readonly [Pick<Command<unknown>, 'name'>, unknown];

/** One command of each kind, from a number and its position in the log. */
const COMMANDS: Readonly<Record<string, MakeCommand>> = {
  limits: n => [LIMITS_COMMAND, {...LIMITS, ledgerLimit: 4 + (n % 5)}],
  change: (n, at) => [
    CHANGE_COMMAND,
    {
      operationId: `o${n}`,
      digest: `${n}`,
      baseRevision: at % 4,
      edit: {
        kind: 'put',
        section: 'workspaces',
        object: {name: `w${n % 4}`, weight: n},
      },
    },
  ],
  install: n => [
    INSTALL_COMMAND,
    {version: n, source: `${n}`, content: CONTENT},
  ],
  claim: n => {
    const [key, server, attempt] = split(n);
    const claim = {
      workspace: 'w',
      key: `k${key}`,
      digest: 'd',
      server: `s${server}`,
      incarnation: `i${attempt}`,
      attempt: `a${n}`,
    };
    return [CLAIM_COMMAND, claim];
  },
  record: n => {
    const [key, , outcome] = split(n);
    const record = {
      workspace: 'w',
      key: `k${key}`,
      attempt: `a${n}`,
      outcome: ['ran', 'notRun', 'unknown'][outcome],
      status: 200,
      answer: 'x'.repeat(n),
      contentType: '',
    };
    return [RECORD_COMMAND, record];
  },
  incarnation: n => {
    const [server, incarnation] = split(n);
    const payload = {server: `s${server}`, incarnation: `i${incarnation}`};
    return [INCARNATION_COMMAND, payload];
  },
  wantedState: (n, at) => [
    WANTED_STATE_COMMAND,
    {
      operationId: `o${at}`,
      digest: '',
      server: `s${n % 3}`,
      wantedState: n % 2 === 0 ? 'ready' : 'draining',
    },
  ],
  order: n => [
    ORDER_COMMAND,
    {
      orderId: `r${n % 5}`,
      backendServer: `s${n % 3}`,
      action: 'loadModel',
      arguments: {},
    },
  ],
  orderOutcome: n => [
    ORDER_OUTCOME_COMMAND,
    {
      orderId: `r${n % 5}`,
      fencingToken: n % 4,
      backendServer: `s${n % 3}`,
      outcome: 'done',
      message: '',
    },
  ],
  join: n => [JOIN_SERVER_COMMAND, {server: makeServer(n)}],
  leave: n => [LEAVE_SERVER_COMMAND, {name: makeServer(n).name}],
  end: n => [END_SERVER_COMMAND, {name: makeServer(n).name}],
  drop: n => [DROP_SERVERS_COMMAND, {names: [makeServer(n).name]}],
  openPlaces: () => [OPEN_PLACES_COMMAND, {}],
  crashes: n => {
    const [server, request, answered] = split(n);
    const crash = {
      server: `s${server}${n}`,
      requests: [`q${request}`, 'q1'],
      ageMs: n,
    };
    const cleared = answered === 0 ? ['q0'] : [];
    return [
      CRASHES_COMMAND,
      {crashes: [crash], answered: cleared, rules: n % 2 === 0 ? 2 : undefined},
    ];
  },
  lift: n => [LIFT_QUARANTINE_COMMAND, {request: `q${n % 3}`, rules: 2}],
  evacuation: (n, at) => [
    EVACUATION_COMMAND,
    {
      operationId: `e${at}`,
      digest: '',
      zone: `z${n % 3}`,
      evacuated: n % 2 === 0,
      warmUpRouters: [`r${n}`],
    },
  ],
};

class Member {
  machine = new ControlStateMachine(CONTROL_DEFAULTS, () => 0);
  #index = 0;

  apply(bytes: Uint8Array): unknown {
    this.#index += 1;
    try {
      return decodeResult(this.machine.apply(bytes, this.#index));
    } catch (err) {
      return String(err);
    }
  }

  restart(): void {
    const snapshot = this.machine.snapshot();
    this.machine = new ControlStateMachine(CONTROL_DEFAULTS, () => 0);
    this.machine.restore(snapshot);
  }
}

/** Lists are in their order, which decides what is evicted first. */
function describeState({machine}: Member): object {
  const entries = machine.ledger.encodeEntries();
  return {
    timeMs: machine.time.timeMs,
    limits: machine.limits,
    configuration: machine.configuration.snapshot(),
    ledger: machine.ledger.snapshot(),
    entries: [...entries].map(line => Buffer.from(line).toString()),
    operations: machine.operations.snapshot(),
    orders: machine.orders.snapshot(),
    draining: machine.wanted.snapshot(),
    directServers: machine.directServers.snapshot(),
    crashes: machine.crashes.snapshot(),
    evacuations: machine.evacuations.snapshot(),
  };
}

// Guards against replicated state that depends on when a member was restored
// from a snapshot: both members must give equal results and snapshots.
it('a restored member answers like one that kept running', () => {
  const step = fc.record({
    kind: fc.constantFrom(...Object.keys(COMMANDS)),
    n: fc.nat(26),
    afterMs: fc.oneof(fc.nat(2_000), fc.nat(9 * 24 * HOUR_MS)),
    restarts: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
      const running = new Member();
      const restored = new Member();
      let timeMs = 0;
      for (const [at, {kind, n, afterMs, restarts}] of steps.entries()) {
        timeMs += afterMs;
        const [command, payload] = COMMANDS[kind]?.(n, at) ?? [];
        if (!command) continue;
        const stamp = {timeMs, wallTimeMs: timeMs, term: 1};
        const bytes = encodeCommand(
          command as Command<unknown>,
          payload,
          stamp,
        );
        if (restarts) restored.restart();
        expect(restored.apply(bytes)).toEqual(running.apply(bytes));
      }
      restored.restart();
      expect(describeState(restored)).toEqual(describeState(running));
    }),
  );
});
