import {type Command, configurationSchema} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  DROP_SERVERS_COMMAND,
  encodeCommand,
  END_SERVER_COMMAND,
  INSTALL_COMMAND,
  JOIN_SERVER_COMMAND,
  LEAVE_SERVER_COMMAND,
} from '../../control_commands.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';
import {type JoiningServer} from '../../direct_server_table.js';
import {StreamHistoryQueries} from '../../stream_history_queries.js';

const {v1} = lovagepond;

let now = 0;
let machine: ControlStateMachine;
let index = 0;

function run<Payload>(command: Command<Payload>, payload: Payload): void {
  const timeMs = machine.time.stamp(now);
  const stamp = {timeMs, wallTimeMs: 0, term: 1};
  machine.apply(encodeCommand(command, payload, stamp), ++index);
}

function join(name: string, version: string, address: string): void {
  const server = {name, incarnation: name, address, pool: 'p'};
  const labels = {version};
  run(JOIN_SERVER_COMMAND, {
    server: {...server, labels} as unknown as JoiningServer,
  });
}

function install(version: number, pathPrefix: string, pool: string): void {
  const content = configurationSchema.parse({
    selectors: [
      {
        name: 's',
        workspaces: ['*'],
        requestKinds: ['k'],
        pools: '',
        match: {host: 'shop.example', pathPrefix},
        poolWeights: [{pool, weight: 1}],
      },
    ],
  });
  run(INSTALL_COMMAND, {version, content, source: ''});
}

const FORWARDED = new v1.StreamHistoryResponse({completeForMs: 7});

function ask(
  leads = true,
  isConfirmed = true,
): Promise<lovagepond.v1.StreamHistoryResponse> {
  const proposer = {
    leads: () => leads,
    confirm: () => Promise.resolve(isConfirmed),
  };
  const clock = {now: () => now, wallTime: () => 0};
  const leader = {readStreamHistory: () => Promise.resolve(FORWARDED)};
  const queries = new StreamHistoryQueries({clock, machine, proposer}, leader);
  return queries.answer(new v1.StreamHistoryRequest());
}

async function versions(): Promise<string[]> {
  const res = await ask();
  expect(res.confirmed).toBe(true);
  return (res.versions ?? []).map(
    ({version, goneForMs}) => `${version} ${goneForMs}`,
  );
}

beforeEach(() => {
  now = 1_000;
  machine = new ControlStateMachine(CONTROL_DEFAULTS, () => now);
});

// Guards against routers that take what is listed now for all there was.
describe('the history of streams', () => {
  it.each([
    [
      'ended',
      () => {
        run(END_SERVER_COMMAND, {name: 'a'});
      },
    ],
    [
      'lost its lease',
      () => {
        run(DROP_SERVERS_COMMAND, {names: ['a']});
      },
    ],
    [
      'was replaced at its address',
      () => {
        join('c', 'v2', 'x:1');
      },
    ],
  ])('has the version of a server that %s', async (_how, remove) => {
    join('a', 'v1', 'x:1');
    join('b', 'v2', 'y:1');
    run(LEAVE_SERVER_COMMAND, {name: 'a'});
    now = 2_000;
    remove();
    now = 2_800;
    expect(await versions()).toEqual(['v2 0', 'v1 800']);
    const snapshot = machine.snapshot();
    machine = new ControlStateMachine(CONTROL_DEFAULTS, () => now);
    machine.restore(snapshot);
    // Time without a leader isn't counted.
    expect(await versions()).toEqual(['v2 0', 'v1 1']);
    now = 2_900;
    expect(await versions()).toEqual(['v2 0', 'v1 100']);
  });

  it('has the requests that were sent elsewhere before', async () => {
    install(1, '/a/', 'p');
    now = 3_000;
    install(2, '/a/', 'q');
    now = 3_400;
    const {changes} = await ask();
    expect(changes).toMatchObject([{pathPrefix: '/a/', ageMs: 400}]);
  });

  it('is read at the leader, if a majority confirms that it leads', async () => {
    join('a', 'v1', 'x:1');
    expect(await ask(true, false)).toMatchObject({confirmed: false});
    expect(await ask(false)).toBe(FORWARDED);
  });
});
