/**
 * Steps against real processes. The processes start before the first scenario
 * tagged `@processes`, serve all of these scenarios, and are stopped by process
 * id at the end.
 */
import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {AfterAll, Before, Given, Then, When} from '@cucumber/cucumber';
import {fakeAnswerText} from '@lovagepond/backend';
import {
  type ChatAnswer,
  Fleet,
  streamChat,
} from '../../../../scripts/fleet_processes.mjs';

const START_TIMEOUT_MS = 60_000;
const STEP_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const SETTINGS_FOLDER = 'examples/loopback';
const OPERATION_ID = 'pharmacy-weight';
const QUESTION = 'Which voucher fits? ';
const CONVERGENCE_LIMIT_SECONDS = '20';
const LONG_ANSWER_TOKENS = 120;
/** Request id in the answers of a fake engine with the fault `crossAnswers`. */
const CROSSED_REQUEST_ID = 'another-request';
const CROSSED_TEXT_START = fakeAnswerText(CROSSED_REQUEST_ID, 4);
const STEP_OPTIONS = {timeout: STEP_TIMEOUT_MS};

let fleet: Fleet | undefined;
let revisions: number[] = [];
let answer: Promise<ChatAnswer> | undefined;
let answers: ChatAnswer[] = [];
let requestsBefore = 0;
let exitCode: Promise<number | null> | undefined;
let chatCount = 0;

function getFleet(): Fleet {
  assert.ok(fleet, 'no fleet was started');
  return fleet;
}

Before({tags: '@processes', timeout: START_TIMEOUT_MS}, async () => {
  if (fleet) return;
  fleet = new Fleet();
  await fleet.start(SETTINGS_FOLDER);
});

AfterAll(async () => {
  await fleet?.end();
});

/** Polls until the condition holds or the step times out. */
async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await wait(POLL_MS);
}

function sendChat(router: string, maxTokens?: number): Promise<ChatAnswer> {
  chatCount += 1;
  return streamChat(getFleet().callersUrl(router), {
    workspace: 'demo',
    chat: `process-chat-${chatCount}`,
    messages: [{role: 'user', content: QUESTION.repeat(chatCount)}],
    ...(maxTokens === undefined ? {} : {maxTokens}),
  });
}

function backendUrl(sidecar: string): string {
  return getFleet().get(sidecar).settings?.['backend']?.['url'] ?? '';
}

/** Injects faults into the next request of every engine. */
async function setFaults(faults: object): Promise<void> {
  for (const sidecar of getFleet().namesOf('sidecar')) {
    const res = await fetch(`${backendUrl(sidecar)}/fake/faults`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({...faults, requests: 1}),
    });
    assert.equal(res.status, 200);
  }
}

async function countRequests(sidecar: string): Promise<number> {
  const res = await fetch(`${backendUrl(sidecar)}/fake/state`);
  const {state} = (await res.json()) as {
    state: {counters: {requests: number}};
  };
  return state.counters.requests;
}

/** The part of a sidecar's dump that the steps read. */
interface GateDump {
  readonly runs: number;
  readonly revision: number;
}

interface ListedServer {
  readonly server: {readonly name: string; readonly state: string};
}

async function stateOf(server: string): Promise<string | undefined> {
  const listed = (await getFleet().ctl('servers', 'list')) as ListedServer[];
  return listed.find(view => view.server.name === server)?.server.state;
}

async function setWeight(): Promise<void> {
  const command = ['workspaces', 'set', 'pharmacy', 'weight=2'];
  const options = ['--operation-id', OPERATION_ID, '--base', '1'];
  const output = await getFleet().ctl(...command, ...options);
  revisions.push((output as {revision: number}).revision);
}

When(
  'an operator gives the workspace "pharmacy" the weight 2 by ctl',
  STEP_OPTIONS,
  async () => {
    revisions = [];
    await setWeight();
  },
);

When(
  'the operator repeats the command with the same operation id',
  STEP_OPTIONS,
  setWeight,
);

Then('both commands report the same revision', () => {
  assert.equal(revisions.length, 2);
  assert.equal(revisions[0], revisions[1]);
});

Then(
  'ctl reports that the revision is in force everywhere',
  STEP_OPTIONS,
  async () => {
    const options = ['--wait', '--limit', CONVERGENCE_LIMIT_SECONDS];
    const output = await getFleet().ctl('convergence', ...options);
    assert.deepEqual((output as {behind: string[]}).behind, []);
  },
);

Then('every router and sidecar process holds that revision', async () => {
  const all = getFleet();
  const names = [...all.namesOf('router'), ...all.namesOf('sidecar')];
  for (const name of names) {
    const {state} = await all.dump(name);
    const gate = state['gate'] as GateDump | undefined;
    assert.equal(gate?.revision ?? state['revision'], revisions[0], name);
  }
});

Given(
  'every engine cuts the connection once after {int} tokens',
  async (cutAfterTokens: number) => {
    await setFaults({cutAfterTokens});
  },
);

Given('every engine once sends the answer to another request', async () => {
  await setFaults({crossAnswers: true});
});

When('a shopper sends a chat through {word}', (router: string) => {
  answer = sendChat(router);
});

When('a shopper requests a long answer through {word}', (router: string) => {
  answer = sendChat(router, LONG_ANSWER_TOKENS);
});

Then('the shopper receives the whole answer', STEP_OPTIONS, async () => {
  const got = await answer;
  assert.ok(got?.whole, `status ${got?.status}: ${got?.body}`);
  assert.equal(got.status, 200);
});

Then(
  'the shopper receives their own whole answer or an error',
  STEP_OPTIONS,
  async () => {
    const got = await answer;
    assert.ok(got, 'no chat was sent');
    assert.ok(!got.body.includes(CROSSED_REQUEST_ID), got.body);
    assert.ok(!got.text.startsWith(CROSSED_TEXT_START), got.text);
    if (got.whole) assert.equal(got.status, 200);
    else assert.match(got.body, /"error"/);
  },
);

When(
  'an operator drains the engine of {word} by ctl',
  STEP_OPTIONS,
  async (sidecar: string) => {
    await getFleet().ctl('servers', 'drain', sidecar);
  },
);

When('every router lists the engine as draining', STEP_OPTIONS, async () => {
  await waitUntil(async () => (await stateOf('sidecar-1')) === 'draining');
  const all = getFleet();
  await waitUntil(async () => {
    const names = [...all.namesOf('control'), ...all.namesOf('router')];
    const dumps = await Promise.all(names.map(name => all.dump(name)));
    const versions = dumps.map(({state}) => state['membershipVersion']);
    return new Set(versions).size === 1;
  });
  requestsBefore = await countRequests('sidecar-1');
});

When(
  '{int} chats start through {word}',
  STEP_OPTIONS,
  async (count: number, router: string) => {
    const pending = Array.from({length: count}, () => sendChat(router));
    answers = await Promise.all(pending);
  },
);

Then(
  'all chats are answered, and the engine of {word} received none',
  async (sidecar: string) => {
    for (const got of answers) assert.ok(got.whole, got.body);
    assert.equal(await countRequests(sidecar), requestsBefore);
  },
);

When(
  'an operator resumes the engine of {word} by ctl',
  STEP_OPTIONS,
  async (sidecar: string) => {
    await getFleet().ctl('servers', 'resume', sidecar);
  },
);

Then('ctl lists the engine as ready again', STEP_OPTIONS, async () => {
  await waitUntil(async () => (await stateOf('sidecar-1')) === 'ready');
});

When(
  'the sidecar that serves the request receives SIGTERM',
  STEP_OPTIONS,
  async () => {
    const all = getFleet();
    let servingSidecar: string | undefined;
    await waitUntil(async () => {
      for (const name of all.namesOf('sidecar')) {
        const {state} = await all.dump(name);
        if ((state['gate'] as GateDump).runs === 1) servingSidecar = name;
      }
      return servingSidecar !== undefined;
    });
    exitCode = all.get(servingSidecar ?? '').end('SIGTERM');
  },
);

Then('the stopped process exits with code 0', STEP_OPTIONS, async () => {
  assert.equal(await exitCode, 0);
});

When('the process {word} is killed', STEP_OPTIONS, async (name: string) => {
  await getFleet().get(name).end('SIGKILL');
});
