// Engines that look healthy fail a part of their streams: they break some off, and
// answer others with a status. The route's streams may be resumed.
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {
  assertRunning,
  callUntilConfirmed,
  configuration,
  HAS_TROUBLE,
  makeFleet,
  now,
  PLAIN_ROUTE,
  PLAIN_SERVICE,
  Record,
  Replica,
  runCase,
  send,
  signed,
  waitFor,
} from '../stand-ins-2/lib.mjs';

/** `x` of `srv_grey`: the part of their requests that grey replicas fail. */
const FAILED_PART = 0.4;

const EVENTS = 10;
const EVENT_INTERVAL_MS = 10;
const AT_ONCE = 12;

/** `for_s` of the site's `srv_grey` on all replicas, milliseconds. */
const GREY_MS = 4_000;

const ENGINE = {
  ...PLAIN_SERVICE,
  Name: 'huvo11a',
  ConnectionLimit: 390,
  InferenceEngine: {
    Slots: 64,
    KvCacheTokens: 345_426,
    KvTokenBytes: 163_840,
    LinkSpeedMbps: 2_200_000,
    ModelList: [{Name: 'm'}],
  },
};

const STREAM_ROUTE = {
  ...PLAIN_ROUTE,
  Name: 'r-fi6y7z5',
  PathPrefix: '/lohu930/',
  RouteKind: 'streaming',
  TimeoutMs: 3_000,
  TargetLatencyMs: 500,
  Service: ENGINE.Name,
  MaxAttempts: 2,
  StickySessions: true,
  StreamResumption: true,
  GapAimMs: 400,
};

const record = new Record(new URL('record.txt', import.meta.url));
const fleet = makeFleet();
const replicas = [];
const agent = new http.Agent({keepAlive: true, maxSockets: AT_ONCE});
let isGrey = false;
/** Draws the same failures in each run. */
let seed = 7;

function controlPlanes() {
  return fleet.controls.map(({controlPlane}) => controlPlane);
}

function draw() {
  seed = (seed * 48_271) % 2_147_483_647;
  return seed / 2_147_483_647;
}

function stream(id, req, res) {
  const attempt = String(req.headers['x-lovagepond-attempt-id']);
  const last = Number(req.headers['last-event-id'] ?? 0);
  const drawn = isGrey ? draw() : 1;
  if (drawn < FAILED_PART / 2) {
    record.note(`${id} answers 429 to ${attempt}, after event ${last}`);
    res.writeHead(429, {...signed(id, req), 'Content-Length': 0}).end();
    return;
  }
  const breaksAt = drawn < FAILED_PART ? last + 3 : Infinity;
  res.writeHead(200, {
    ...signed(id, req),
    'Content-Type': 'text/event-stream',
  });
  let nth = last;
  const timer = setInterval(() => {
    nth += 1;
    if (nth === breaksAt) {
      record.note(`${id} breaks ${attempt} off after event ${nth - 1}`);
      req.socket.destroy();
      return;
    }
    if (nth <= EVENTS) res.write(`id: ${nth}\ndata: piece ${nth}\n\n`);
    if (nth < EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_INTERVAL_MS);
  res.on('close', () => {
    clearInterval(timer);
  });
}

async function ask(nth) {
  const {frontend} = fleet.gateways[nth % fleet.gateways.length];
  const chat = (0xe440 + nth).toString(16);
  const answer = await send(frontend, {
    method: 'POST',
    path: `${STREAM_ROUTE.PathPrefix}x`,
    body: '{"prompt":"which voucher fits?"}',
    agent,
    deadlineMs: 3_000,
    headers: {
      'X-Lovagepond-Model': 'm',
      'X-Lovagepond-Token-Usage': '1460,80',
      'X-Lovagepond-Prompt-Prefix': `5c1e07a2:800,${chat}:250`,
    },
  });
  const pieces = (answer.body.match(/^data: /gm) ?? []).length;
  record.note(
    `${answer.id}: status ${answer.status}, ${pieces} of ${EVENTS} events, ` +
      (answer.isWhole ? 'ended as complete' : 'channel closed'),
  );
  return {...answer, pieces};
}

async function play() {
  await fleet.start();
  const document = configuration({
    version: 3,
    routes: [STREAM_ROUTE],
    services: [ENGINE],
  });
  const call = {method: 'PUT', path: '/-/configuration', body: document};
  const isConfigured = await callUntilConfirmed(controlPlanes(), call, 20_000);
  if (!isConfigured) throw new Error('no configuration');
  for (const id of ['e-1', 'e-2', 'e-3']) {
    const replica = new Replica(id, ENGINE.Name, (req, res) => {
      stream(id, req, res);
    });
    await replica.listen();
    replica.startReports(controlPlanes);
    replicas.push(replica);
  }
  const isServing = await waitFor(async () => {
    const answers = [];
    for (const at of fleet.gateways.keys()) answers.push(await ask(at));
    return answers.every(({status}) => status === 200);
  }, 20_000);
  assertRunning(fleet);
  if (!isServing) throw new Error('the gateways do not serve');
  await sleep(3_000);
  isGrey = HAS_TROUBLE;
  const answers = [];
  const until = now() + GREY_MS;
  for (let nth = 0; now() < until; nth += AT_ONCE) {
    const group = Array.from({length: AT_ONCE}, (_, at) => ask(nth + at));
    answers.push(...(await Promise.all(group)));
  }
  isGrey = false;
  const complete = answers.filter(
    ({status, isWhole}) => status === 200 && isWhole,
  );
  const short = complete.filter(({pieces}) => pieces < EVENTS);
  record.say(
    `${answers.length} streams sent, ${complete.length} ended as complete with status ` +
      `200; ${short.length} of these had fewer than ${EVENTS} events`,
  );
  for (const {id, pieces} of short) {
    record.say(`  ${id} ended as complete after ${pieces} events`);
  }
  return short.length === 0;
}

await runCase(record, play, async () => {
  agent.destroy();
  for (const replica of replicas) replica.crash();
  await fleet.end();
});
