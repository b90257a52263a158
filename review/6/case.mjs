// A replica reports its end with DELETE. The node that confirms it, the leader of
// control, is killed right after the confirmation.
import {connect} from 'node:net';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {
  assertRunning,
  BOUNDS,
  callOnce,
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

const ROUNDS = 5;
const REPLICAS = 4;

/** Time for which the replica serves after the confirmation, milliseconds. */
const LINGER_MS = 7_500;

/**
 * Time between the start of the node that was killed before and the next kill,
 * milliseconds: the node counts as lost for `CatchUpS` (4 s) after its start, and
 * the core as unstable for `ContactTimeoutMs` (3 s).
 */
const CALM_MS = 6_000;

/** Requests a second at each gateway. */
const PER_SECOND = 10;

const record = new Record(new URL('record.txt', import.meta.url));
const fleet = makeFleet();
const replicas = [];
/** What ran at replicas: id of the replica, id of the request, time. */
const runs = [];
const sends = new Map();
let timer;

function controlPlanes() {
  return fleet.controls.map(({controlPlane}) => controlPlane);
}

async function startReplica(id) {
  const replica = new Replica(id, PLAIN_SERVICE.Name, (req, res) => {
    const attempt = String(req.headers['x-lovagepond-attempt-id']);
    runs.push({replica: id, attempt, at: now()});
    setTimeout(() => {
      res.writeHead(200, {...signed(id, req), 'Content-Length': id.length});
      res.end(id);
    }, 10);
  });
  await replica.listen();
  replicas.push(replica);
  replica.startReports(controlPlanes);
  return replica;
}

/** @returns the index of the leader: the only one that confirms reports itself */
async function findLeader(replica) {
  for (const [at, {controlPlane}] of fleet.controls.entries()) {
    const url = `http://${controlPlane}${replica.path}`;
    const res = await callOnce(url, 'PUT', replica.report()).catch(
      () => undefined,
    );
    if (res?.status === 200) return at;
  }
  throw new Error('no leader');
}

/**
 * Sends DELETE and calls back with the first byte of the answer.
 *
 * @returns {Promise<{status: number, at: number}>}
 */
function withdraw(replica, address, onAnswer) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => {
      socket.write(
        `DELETE ${replica.path} HTTP/1.1\r\nHost: ${address}\r\n` +
          'Connection: close\r\n\r\n',
      );
    });
    socket.setNoDelay(true);
    socket.once('data', bytes => {
      const status = Number(bytes.toString('latin1', 9, 12));
      if (status === 200) onAnswer();
      const at = now();
      socket.destroy();
      resolve({status, at});
    });
    socket.once('error', reject);
  });
}

function startTraffic() {
  let nth = 0;
  timer = setInterval(() => {
    for (const [at, {frontend}] of fleet.gateways.entries()) {
      nth += 1;
      const id = `a-${nth}`;
      sends.set(id, {gateway: at, at: now()});
      const path = `${PLAIN_ROUTE.PathPrefix}x`;
      void send(frontend, {id, path}).then(({status}) => {
        sends.get(id).status = status;
      });
    }
  }, 1_000 / PER_SECOND);
}

/** @returns the runs that break the rule */
async function playRound(round) {
  const leaving = replicas.find(one => one.id === `i-${round}`);
  await startReplica(`i-${round + REPLICAS}`);
  await sleep(CALM_MS);
  const at = await findLeader(leaving);
  const leader = fleet.controls[at];
  leaving.stopReports();
  const {status, at: confirmedAt} = await withdraw(
    leaving,
    leader.controlPlane,
    () => {
      if (HAS_TROUBLE) process.kill(leader.child.pid, 'SIGKILL');
    },
  );
  if (status !== 200) throw new Error(`DELETE was answered ${status}`);
  record.note(
    `round ${round}: the leader on host ${at} confirmed the end of ` +
      `${leaving.id} at ${confirmedAt}${HAS_TROUBLE ? ' and was killed' : ''}`,
  );
  await sleep(LINGER_MS);
  leaving.crash();
  if (HAS_TROUBLE) {
    await leader.exited;
    fleet.restart(leader);
  }
  // Machines are in touch again once the kill is ContactTimeoutMs ago.
  const since = HAS_TROUBLE
    ? Math.max(BOUNDS.DrainTimeoutMs, BOUNDS.ContactTimeoutMs)
    : BOUNDS.DrainTimeoutMs;
  const later = runs.filter(
    one => one.replica === leaving.id && one.at > confirmedAt,
  );
  const late = later.filter(({attempt, at: ranAt}) => {
    const {gateway, at: sentAt} = sends.get(attempt) ?? {};
    return (
      ranAt > confirmedAt + since && sentAt > confirmedAt && gateway !== at
    );
  });
  const last = later.at(-1);
  record.say(
    `round ${round}: ${later.length} requests reached ${leaving.id} after the ` +
      `confirmation, the last one after ${last ? last.at - confirmedAt : 0} ms; ` +
      `${late.length} of them later than ${since} ms, by machines in touch`,
  );
  for (const one of late) {
    record.note(`  ${one.attempt} reached ${one.replica} at ${one.at}`);
  }
  return late;
}

async function play() {
  await fleet.start();
  const document = configuration({
    version: 3,
    routes: [PLAIN_ROUTE],
    services: [PLAIN_SERVICE],
  });
  const call = {method: 'PUT', path: '/-/configuration', body: document};
  const isConfigured = await callUntilConfirmed(controlPlanes(), call, 20_000);
  if (!isConfigured) throw new Error('no configuration');
  for (let nth = 0; nth < REPLICAS; nth += 1) await startReplica(`i-${nth}`);
  const isServing = await waitFor(async () => {
    const answers = await Promise.all(
      fleet.gateways.map(({frontend}) =>
        send(frontend, {path: `${PLAIN_ROUTE.PathPrefix}w`}),
      ),
    );
    return answers.every(({status}) => status === 200);
  }, 15_000);
  assertRunning(fleet);
  if (!isServing) throw new Error('the gateways do not serve');
  startTraffic();
  let broken = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    broken += (await playRound(round)).length;
  }
  const answered = [...sends.values()].filter(({status}) => status === 200);
  record.say(`${sends.size} requests sent, ${answered.length} served`);
  record.say(`${broken} requests break the rule`);
  return broken === 0;
}

await runCase(record, play, async () => {
  clearInterval(timer);
  for (const replica of replicas) replica.crash();
  await fleet.end();
});
