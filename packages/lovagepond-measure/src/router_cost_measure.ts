/**
 * Processor time of the router per request and per relayed token.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Agent, request} from 'undici';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {makeStubFrame, RouterStub, type StubCall} from './router_stub.js';

const REQUESTS = 3_000;
const WARM_UP = 500;
const CONCURRENCY = 32;
const STREAMS = 32;
const TOKENS_EACH = 1_000;
const MICROS_PER_SECOND = 1_000_000;
const COMMAND = 'npm run measure -- router';
const HEAD = {status: 200, contentType: 'text/event-stream'};
const TOKEN_EVENT = Buffer.from(
  `data: ${JSON.stringify({choices: [{delta: {content: ' voucher'}}]})}\n\n`,
);

async function ask(agent: Agent, url: string, number: number): Promise<void> {
  const answer = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      'x-lovagepond-workspace': 'bench',
      'x-lovagepond-chat': `chat-${number}`,
    },
    body: '{"messages":[{"role":"user","content":"Hi"}],"stream":true}',
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`);
}

function cpuMicros(since?: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(since);
  return user + system;
}

/** @returns microseconds of processor time per request */
async function runRequests(url: string): Promise<number> {
  const agent = new Agent({connections: CONCURRENCY});
  const runBatch = async (count: number): Promise<void> => {
    let next = 0;
    const runOne = async (): Promise<void> => {
      while (next < count) await ask(agent, url, next++);
    };
    await Promise.all(Array.from({length: CONCURRENCY}, runOne));
  };
  await runBatch(WARM_UP);
  const start = process.cpuUsage();
  await runBatch(REQUESTS);
  const micros = cpuMicros(start) / REQUESTS;
  await agent.close();
  return micros;
}

function answerShort(call: StubCall): void {
  call.write(makeStubFrame(call, {accepted: {}}));
  call.write(makeStubFrame(call, {started: {}}));
  const chunk = {offset: 0, data: TOKEN_EVENT, ...HEAD};
  call.write(makeStubFrame(call, {chunk}));
  const end = {totalBytes: TOKEN_EVENT.length, ...HEAD};
  call.write(makeStubFrame(call, {end}));
  call.end();
}

/** Sends one token per turn of the event loop, like an engine's steps. */
async function sendTokens(
  count: number,
  send: (index: number) => void,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    send(index);
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function streamAnswer(call: StubCall): Promise<void> {
  call.write(makeStubFrame(call, {started: {}}));
  await sendTokens(TOKENS_EACH, index => {
    const offset = index * TOKEN_EVENT.length;
    const chunk = {offset, data: TOKEN_EVENT, ...HEAD};
    call.write(makeStubFrame(call, {chunk}));
  });
  const totalBytes = TOKENS_EACH * TOKEN_EVENT.length;
  call.write(makeStubFrame(call, {end: {totalBytes, ...HEAD}}));
  call.end();
}

async function startPlain(
  tokens: number,
): Promise<{server: Server; url: string}> {
  const server = createServer((req, res) => {
    req.resume();
    res.writeHead(200, {'content-type': HEAD.contentType});
    void sendTokens(tokens, () => res.write(TOKEN_EVENT)).then(() => res.end());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {server, url: `http://127.0.0.1:${port}`};
}

/** @returns microseconds of processor time per token */
async function runStreams(url: string): Promise<number> {
  const agent = new Agent({connections: STREAMS});
  const runAll = (): Promise<unknown> =>
    Promise.all(Array.from({length: STREAMS}, (_, n) => ask(agent, url, n)));
  await runAll();
  const start = process.cpuUsage();
  await runAll();
  const micros = cpuMicros(start) / (STREAMS * TOKENS_EACH);
  await agent.close();
  return micros;
}

async function measurePlain(): Promise<{request: number; token: number}> {
  const short = await startPlain(1);
  const request = await runRequests(short.url);
  short.server.close();
  const long = await startPlain(TOKENS_EACH);
  const token = await runStreams(long.url);
  long.server.close();
  return {request, token};
}

async function measureRouted(): Promise<{request: number; token: number}> {
  const short = new RouterStub();
  const request = await runRequests(await short.start(answerShort));
  await short.stop();
  const long = new RouterStub();
  const url = await long.start(call => void streamAnswer(call));
  const token = await runStreams(url);
  await long.stop();
  return {request, token};
}

function makeRow(
  name: string,
  plain: number,
  routed: number,
): (string | number)[] {
  const added = routed - plain;
  return [
    name,
    roundTo(plain, 1),
    roundTo(routed, 1),
    roundTo(added, 1),
    Math.round(MICROS_PER_SECOND / added),
  ];
}

/** @returns the table of processor times */
export async function measureRouterCost(): Promise<MeasureSection> {
  const plain = await measurePlain();
  const routed = await measureRouted();
  return {
    title: 'Processor time of the router',
    columns: [
      'for each',
      'plain µs',
      'routed µs',
      'added µs',
      'a second a core',
    ],
    rows: [
      makeRow('request', plain.request, routed.request),
      makeRow('relayed token', plain.token, routed.token),
    ],
    notes: [
      COMMAND,
      `${REQUESTS} requests, ${CONCURRENCY} at a time; ${STREAMS} streams of ` +
        `${TOKENS_EACH} tokens, one event each, after a warm-up run`,
      "plain: caller's end and a bare HTTP server; routed: caller's end, " +
        "router and the gRPC server of a stub sidecar; 'added' " +
        "thus includes a sidecar's end of gRPC",
    ],
  };
}
