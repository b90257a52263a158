// The only replica of a service crashes and starts again at the same address. A
// report of its former lifetime, which was under way, arrives after that.
import {createServer, connect} from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {
  assertRunning,
  callControl,
  callUntilConfirmed,
  configuration,
  HAS_TROUBLE,
  HEARTBEAT_MS,
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

/** How long the replica is down, milliseconds: `for_s` of `srv_crash`. */
const DOWN_MS = 4_500;

/** Time from its last confirmed report to the crash, milliseconds. */
const CRASH_AFTER_MS = HEARTBEAT_MS + 850;

/** For how long the last report of the former lifetime is under way, ms. */
const LATE_MS = 6_500;

/** Time for which requests are counted after the late report, milliseconds. */
const WATCH_MS = 40_000;

const OTHER_SERVICE = {...PLAIN_SERVICE, Name: 'huvo11a'};
const OTHER_ROUTE = {
  ...PLAIN_ROUTE,
  Name: 'r-other',
  PathPrefix: '/lohu930/',
  Service: OTHER_SERVICE.Name,
};
const KINDS = [PLAIN_ROUTE, OTHER_ROUTE];

/** Requests a second at each gateway, of each kind. */
const PER_SECOND = 5;

const record = new Record(new URL('record.txt', import.meta.url));
const fleet = makeFleet();
const replicas = [];
const sends = [];
const runs = {};
let timer;
let delayLine;

function controlPlanes() {
  return fleet.controls.map(({controlPlane}) => controlPlane);
}

function makeReplica(id, service) {
  runs[id] = 0;
  const replica = new Replica(id, service, (req, res) => {
    runs[id] += 1;
    setTimeout(() => {
      res.writeHead(200, {...signed(id, req), 'Content-Length': id.length});
      res.end(id);
    }, 10);
  });
  replicas.push(replica);
  return replica;
}

/**
 * A link to a node that keeps what is sent for a time, and then delivers it. The
 * sender may have gone by then.
 */
async function startDelayLine(target, delayMs) {
  const [host, port] = target.split(':');
  const server = createServer({allowHalfOpen: true}, socket => {
    const chunks = [];
    socket.on('error', () => undefined);
    socket.on('data', chunk => chunks.push(chunk));
    setTimeout(() => {
      const link = connect(Number(port), host, () => {
        for (const chunk of chunks) link.write(chunk);
      });
      link.on('error', () => undefined);
      link.on('data', bytes => {
        const [status] = bytes.toString('latin1').split('\r\n');
        record.note(`the delayed report is answered: ${status}`);
        link.end();
      });
    }, delayMs);
  });
  server.listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  return {server, address: `127.0.0.1:${server.address().port}`};
}

/** @returns the leader's address: of the node that confirms reports itself */
async function findLeader(replica) {
  for (const {controlPlane} of fleet.controls) {
    const res = await callControl(
      controlPlane,
      'PUT',
      replica.path,
      replica.report(),
    );
    if (res.status !== 200) continue;
    const {HeartbeatAddress} = JSON.parse(res.body);
    return HeartbeatAddress;
  }
  throw new Error('no leader');
}

function startTraffic() {
  let nth = 0;
  timer = setInterval(() => {
    for (const {frontend} of fleet.gateways) {
      for (const [kind, {PathPrefix}] of KINDS.entries()) {
        nth += 1;
        const sent = {id: `a-${nth}`, kind, at: now(), status: -1};
        sends.push(sent);
        const call = {id: sent.id, path: `${PathPrefix}x`};
        void send(frontend, call).then(({status}) => {
          sent.status = status;
        });
      }
    }
  }, 1_000 / PER_SECOND);
}

async function disrupt(first) {
  first.stopReports();
  const leader = await findLeader(first);
  const confirmedAt = now();
  record.note(`last confirmed report of ${first.id}`);
  delayLine = await startDelayLine(leader, LATE_MS);
  await sleep(HEARTBEAT_MS);
  const late = callControl(
    delayLine.address,
    'PUT',
    first.path,
    first.report(),
  ).catch(({message}) => message);
  record.note(`the next report of ${first.id} is under way`);
  await sleep(CRASH_AFTER_MS - HEARTBEAT_MS);
  const {address} = first;
  first.crash();
  record.note(`${first.id} crashes`);
  await sleep(DOWN_MS);
  const second = makeReplica('i-2', PLAIN_SERVICE.Name);
  await second.listen(address);
  second.startReports(controlPlanes);
  record.note(`i-2 starts at ${address}, and reports every ${HEARTBEAT_MS} ms`);
  await late;
  const leftMs = HEARTBEAT_MS + LATE_MS - (now() - confirmedAt);
  await sleep(Math.max(0, leftMs) + 500);
  return second;
}

async function play() {
  await fleet.start();
  const document = configuration({
    version: 3,
    routes: KINDS,
    services: [PLAIN_SERVICE, OTHER_SERVICE],
  });
  const call = {method: 'PUT', path: '/-/configuration', body: document};
  const isConfigured = await callUntilConfirmed(controlPlanes(), call, 20_000);
  if (!isConfigured) throw new Error('no configuration');
  const first = makeReplica('i-1', PLAIN_SERVICE.Name);
  const others = ['o-1', 'o-2', 'o-3'].map(id =>
    makeReplica(id, OTHER_SERVICE.Name),
  );
  for (const replica of [first, ...others]) {
    await replica.listen();
    replica.startReports(controlPlanes);
  }
  const isServing = await waitFor(async () => {
    const answers = await Promise.all(
      fleet.gateways.flatMap(({frontend}) =>
        KINDS.map(({PathPrefix}) => send(frontend, {path: `${PathPrefix}w`})),
      ),
    );
    return answers.every(({status}) => status === 200);
  }, 20_000);
  assertRunning(fleet);
  if (!isServing) throw new Error('the gateways do not serve');
  startTraffic();
  await sleep(5_000);
  const live = HAS_TROUBLE ? await disrupt(first) : first;
  const since = now();
  const ranBefore = runs[live.id];
  const sequence = live.sequence;
  await sleep(WATCH_MS);
  clearInterval(timer);
  const watched = sends.filter(({at, status}) => at >= since && status >= 0);
  const served = kind => {
    const own = watched.filter(one => kind === undefined || one.kind === kind);
    const done = own.filter(({status}) => status === 200);
    return done.length / own.length;
  };
  record.say(
    `in ${WATCH_MS} ms ${live.id} sent ${live.sequence - sequence} reports ` +
      `and ran ${runs[live.id] - ranBefore} requests`,
  );
  record.say(
    `served: ${served(0).toFixed(3)} of the kind of ${live.id}, ` +
      `${served(1).toFixed(3)} of the other, ${served().toFixed(3)} of all`,
  );
  for (const {id, at, status} of sends) record.note(`  ${id} ${at} ${status}`);
  return served(0) >= served() / 4;
}

await runCase(record, play, async () => {
  clearInterval(timer);
  delayLine?.server.close();
  for (const replica of replicas) replica.crash();
  await fleet.end();
});
