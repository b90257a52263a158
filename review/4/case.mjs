// The operator takes away the keys of the last tenant: the new configuration has an
// empty list of tenants.
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {
  assertRunning,
  callControl,
  callUntilConfirmed,
  configuration,
  HAS_TROUBLE,
  KEY,
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

const REVOCATION_MS = 5_000;

/** Requests with each key at each gateway. */
const REQUESTS = 20;
const INTERVAL_MS = 200;

/** A key that no configuration holds. */
const UNKNOWN_KEY = 'zzz0000000000000never';

const ROUTE = {...PLAIN_ROUTE, RouteKind: 'non_idempotent', MaxAttempts: 1};

/** A tenant that stays, in the run without the trouble. */
const OTHER_TENANT = {
  Name: 'pavo112',
  ApiKeys: ['anfqasnmgkcuyj8pjbvk'],
  Priority: 1,
};

const record = new Record(new URL('record.txt', import.meta.url));
const fleet = makeFleet();
/** The tenant that the replica was told, by attempt. */
const runs = new Map();
const replica = new Replica('i-1', PLAIN_SERVICE.Name, (req, res) => {
  const attempt = String(req.headers['x-lovagepond-attempt-id']);
  const tenant = req.headers['x-lovagepond-tenant'] ?? 'none';
  runs.set(attempt, tenant);
  record.note(`${attempt} runs at i-1, tenant: ${tenant}`);
  res.writeHead(200, {...signed('i-1', req), 'Content-Length': 2}).end('ok');
});

function controlPlanes() {
  return fleet.controls.map(({controlPlane}) => controlPlane);
}

/** Sends a configuration until it is confirmed. */
async function configure(version, tenants) {
  const document = JSON.parse(
    configuration({version, routes: [ROUTE], services: [PLAIN_SERVICE]}),
  );
  const body = JSON.stringify({
    ...document,
    ...(tenants && {Tenants: tenants}),
  });
  const call = {method: 'PUT', path: '/-/configuration', body};
  if (!(await callUntilConfirmed(controlPlanes(), call, 20_000))) {
    throw new Error('no configuration');
  }
  record.note(`version ${version} is confirmed`);
  return body;
}

/** @returns the requests with the key that ran, and all statuses */
async function tryKey(name, key) {
  const counts = {sent: 0, ran: 0, statuses: {}};
  for (let nth = 0; nth < REQUESTS; nth += 1) {
    for (const {frontend} of fleet.gateways) {
      const path = `${ROUTE.PathPrefix}x`;
      const headers = {'X-Lovagepond-Credential': key};
      const {id, sentAt, status} = await send(frontend, {path, headers});
      record.note(`${id} with ${name}, sent at ${sentAt}: ${status}`);
      counts.sent += 1;
      counts.ran += runs.has(id) ? 1 : 0;
      counts.statuses[status] = (counts.statuses[status] ?? 0) + 1;
    }
    await sleep(INTERVAL_MS);
  }
  record.say(
    `${name}: ${counts.sent} requests sent, ${counts.ran} ran; statuses ` +
      JSON.stringify(counts.statuses),
  );
  return counts;
}

async function play() {
  await fleet.start();
  await configure(3);
  await replica.listen();
  replica.startReports(controlPlanes);
  const isServing = await waitFor(async () => {
    const answers = await Promise.all(
      fleet.gateways.map(({frontend}) =>
        send(frontend, {path: `${ROUTE.PathPrefix}w`}),
      ),
    );
    return answers.every(({status}) => status === 200);
  }, 20_000);
  assertRunning(fleet);
  if (!isServing) throw new Error('the gateways do not serve');
  await tryKey('the key, while it is valid', KEY);
  const before = await tryKey('a key that was never valid', UNKNOWN_KEY);
  const document = await configure(7, HAS_TROUBLE ? [] : [OTHER_TENANT]);
  const confirmedAt = now();
  await sleep(REVOCATION_MS + 500);
  record.note(`${now() - confirmedAt} ms after the confirmation`);
  const revoked = await tryKey('the key that was taken away', KEY);
  const unknown = await tryKey('a key that was never valid', UNKNOWN_KEY);
  const [address] = controlPlanes();
  const {body} = await callControl(address, 'GET', '/-/configuration');
  record.say(`version 7 is ${body === document ? '' : 'not '}read back`);
  record.note(body);
  return revoked.ran + unknown.ran + before.ran === 0;
}

await runCase(record, play, async () => {
  replica.crash();
  await fleet.end();
});
