/**
 * Memory of the router per open stream, known server and workspace.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  checkConfiguration,
  encodeConfiguration,
  Random,
} from '@lovagepond/core';
import {
  DEFAULT_ROUTER_SETTINGS,
  loadKeyHasher,
  PLACEMENT_POLICIES,
  RouterLoadView,
  RouterRevisions,
  RouterState,
  ServerChoice,
} from '@lovagepond/router';
import {Agent, request} from 'undici';
import {NO_LOG, waitUntil} from './measure_environment.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {BENCH_CONFIGURATION} from './router_bench.js';
import {makeStubFrame, RouterStub, type StubCall} from './router_stub.js';

const STREAM_COUNTS = [250, 1_000];
const SERVER_COUNTS = [64, 640, 6_400];
const WORKSPACE_COUNTS = [10, 100, 1_000];
const SETTLE_MS = 50;
const KIBIBYTE = 1024;
const SEED = 3;
const COMMAND = 'npm run measure -- router';
const EVENT = Buffer.from('data: {"choices":[]}\n\n');

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

async function usedBytes(): Promise<number> {
  for (let round = 0; round < 3; round += 1) {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    collectGarbage();
  }
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function openAnswer(call: StubCall): void {
  call.on('error', () => undefined);
  call.write(makeStubFrame(call, {started: {}}));
  const chunk = {
    offset: 0,
    data: EVENT,
    status: 200,
    contentType: 'text/event-stream',
  };
  call.write(makeStubFrame(call, {chunk}));
}

async function openStreams(url: string, count: number): Promise<Agent> {
  const agent = new Agent({connections: count});
  let begun = 0;
  for (let number = 0; number < count; number += 1) {
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        'x-lovagepond-workspace': 'bench',
        'x-lovagepond-chat': `chat-${number}`,
        'x-lovagepond-deadline': '600000',
      },
      body: '{"messages":[{"role":"user","content":"Hi"}],"stream":true}',
    });
    answer.body.on('error', () => undefined);
    answer.body.once('data', () => {
      begun += 1;
    });
  }
  await waitUntil(() => begun === count);
  return agent;
}

async function measureStreams(count: number): Promise<number> {
  const stub = new RouterStub();
  const url = await stub.start(openAnswer);
  const warm = await openStreams(url, 1);
  const before = await usedBytes();
  const agent = await openStreams(url, count);
  const used = (await usedBytes()) - before;
  await agent.destroy();
  await warm.destroy();
  await stub.stop();
  return used;
}

function makeState(workspaces: number): RouterState {
  const content = {
    ...BENCH_CONFIGURATION,
    workspaces: Array.from({length: workspaces}, (_, n) => ({
      name: `workspace-${n}`,
    })),
  };
  const checked = checkConfiguration(content);
  if (!checked.ok) throw new Error('the configuration has faults');
  const revisions = new RouterRevisions(DEFAULT_ROUTER_SETTINGS);
  const state = new RouterState(revisions, NO_LOG, {
    membershipChanged: () => undefined,
    revisionInstalled: () => undefined,
  });
  const configuration = {revision: 1, content: checked.content};
  state.install(encodeConfiguration(configuration));
  return state;
}

function describeCall(
  workspace: string,
): Parameters<RouterState['findEligible']>[0] {
  return {
    requestId: 'r',
    workspace,
    chat: 'c',
    requestKind: 'chat',
    bodyDigest: new Uint8Array(),
    deadline: 0,
    path: '',
    body: new Uint8Array(),
    contentType: '',
    stream: true,
    estimatedTokens: 100,
  };
}

/** Memory of known servers and the placement table built on first use. */
async function measureServers(count: number): Promise<number> {
  const hasher = await loadKeyHasher();
  const before = await usedBytes();
  const state = makeState(1);
  const members = Array.from({length: count}, (_, n) => ({
    backendServer: `engine-${n}`,
    incarnation: `engine-${n}-abcdef`,
    pool: 'engines',
    labels: {tier: 'gold', rack: `r${n % 40}`},
    availabilityZone: 'zone-a',
    region: 'region',
    address: `10.0.${n >> 8}.${n & 255}:7430`,
    state: 'ready',
    capacityTokens: 64_000,
    models: ['small'],
    slot: n,
  }));
  state.updateMembership({version: 1, whole: true, members}, 0);
  members.length = 0;
  const load = new RouterLoadView();
  load.applyDigest(new Uint8Array(count), 0);
  const choice = new ServerChoice({
    policy: PLACEMENT_POLICIES.holdAndTake(hasher),
    hasher,
    load,
    random: new Random(SEED),
    isSuspect: () => false,
  });
  const verdict = state.findEligible(describeCall('workspace-0'));
  if (!verdict.ok) throw new Error(verdict.failure.kind);
  const slots = choice.slotsOf(verdict.eligible.set);
  const used = (await usedBytes()) - before;
  if (slots.length !== count || state.revision !== 1) throw new Error('lost');
  return used;
}

/** Memory of workspaces that have each sent a request. */
async function measureWorkspaces(count: number): Promise<number> {
  const before = await usedBytes();
  const state = makeState(count);
  for (let n = 0; n < count; n += 1) {
    state.findEligible(describeCall(`workspace-${n}`));
  }
  const used = (await usedBytes()) - before;
  if (state.revision !== 1) throw new Error('no configuration installed');
  return used;
}

async function listRows(
  name: string,
  counts: readonly number[],
  measure: (count: number) => Promise<number>,
): Promise<(string | number)[][]> {
  await measure(counts[0] as number);
  const used: number[] = [];
  for (const count of counts) used.push(await measure(count));
  return counts.map((count, index) => {
    const lower = index - 1;
    const slope =
      lower < 0
        ? ''
        : ((used[index] as number) - (used[lower] as number)) /
          (count - (counts[lower] as number)) /
          KIBIBYTE;
    const kib = roundTo((used[index] as number) / KIBIBYTE, 0);
    return [name, count, kib, slope === '' ? slope : roundTo(slope, 3)];
  });
}

/** @returns the table of memory */
export async function measureRouterMemory(): Promise<MeasureSection> {
  return {
    title: 'Memory of the router',
    columns: ['of', 'count', 'KiB in total', 'KiB each (slope)'],
    rows: [
      ...(await listRows('open stream', STREAM_COUNTS, measureStreams)),
      ...(await listRows('known server', SERVER_COUNTS, measureServers)),
      ...(await listRows('workspace', WORKSPACE_COUNTS, measureWorkspaces)),
    ],
    notes: [
      COMMAND,
      'JS heap and external memory after collection, without kernel buffers',
      "open stream: with its caller's end and the sidecar's end of gRPC, " +
        'which are in the same process',
    ],
  };
}
