// Stand-ins that the cases of this review share: replicas, an operator and
// requesters that speak what the users' pages describe, over loopback. The
// programs of the deployment are started by the project's own stand-in for the
// platform, which `review/build-2.sh` bundles.
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import http from 'node:http';
import {createRequire} from 'node:module';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

const require = createRequire(import.meta.url);
const {PlatformFleet} = require('../../target/review-2/platform_fleet.cjs');

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const HEARTBEAT_MS = 1_200;
export const BOUNDS = {
  DrainTimeoutMs: 2_000,
  ContactTimeoutMs: 3_000,
  AckTimeoutMs: 4_000,
  ConfigApplyMs: 2_000,
};

/** Longest run of a case, milliseconds. */
const LIMIT_MS = 112_000;

/** False if the case runs without its disruption. */
export const HAS_TROUBLE = process.env['TROUBLE'] !== '0';

const startedAt = performance.now();

/** @returns {number} milliseconds since the start of the case */
export function now() {
  return Math.round(performance.now() - startedAt);
}

/** Writes what was sent, answered and run to `record.txt` of a case. */
export class Record {
  #out;

  /** @param {URL} file */
  constructor(file) {
    this.#out = createWriteStream(file);
  }

  /** @param {string} text */
  note(text) {
    this.#out.write(`${String(now()).padStart(6)} ms  ${text}\n`);
  }

  /** @param {string} text */
  say(text) {
    this.note(text);
    process.stdout.write(`${text}\n`);
  }

  async close() {
    this.#out.end();
    await once(this.#out, 'finish');
  }
}

/** @returns a fleet of three hosts with a control member and a gateway each */
export function makeFleet() {
  return new PlatformFleet({
    adaptSettings: (role, settings) =>
      role === 'gateway'
        ? settings.replace(
            /^(revocationBound = .*)$/m,
            `$1\ndrainTimeout = ${BOUNDS.DrainTimeoutMs}ms`,
          )
        : settings,
  });
}

/**
 * @throws if a process has ended by itself, for example as another one of this
 *     machine uses its address: the case can't run then
 */
export function assertRunning({controls, gateways}) {
  for (const {role, child} of [...controls, ...gateways]) {
    if (child.exitCode === null) continue;
    throw new Error(`a ${role} has ended with exit code ${child.exitCode}`);
  }
}

/**
 * @param {object} options
 * @returns {string} a configuration with one tenant
 */
export function configuration({version, routes, services}) {
  return JSON.stringify({
    Version: version,
    Routes: routes,
    Services: services,
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'hule930', ApiKeys: [KEY], Priority: 1}],
  });
}

export const PLAIN_SERVICE = {
  Name: 'wuno96b',
  HealthPath: '/healthcheck',
  ConnectionLimit: 130,
  Protocol: 'h1',
  TlsEnabled: false,
};

export const PLAIN_ROUTE = {
  Name: 'r-2yhvz3p',
  Host: HOST,
  PathPrefix: '/pufi791/',
  RouteKind: 'idempotent',
  TimeoutMs: 1_500,
  TargetLatencyMs: 193,
  Priority: 1,
  Service: PLAIN_SERVICE.Name,
  MaxAttempts: 2,
  Public: false,
  StickySessions: false,
  StreamResumption: false,
};

/**
 * Calls one node of the control plane, and follows two redirects.
 *
 * @returns {Promise<{status: number, body: string}>}
 */
export async function callControl(address, method, path, body, timeoutMs) {
  let url = `http://${address}${path}`;
  for (let turn = 0; ; turn += 1) {
    const res = await callOnce(url, method, body, timeoutMs);
    const {location} = res.headers;
    if (res.status !== 307 || !location || turn >= 2) return res;
    url = location;
  }
}

/** Calls one node, without following redirects. */
export function callOnce(url, method, body, timeoutMs = 1_000) {
  return new Promise((resolve, reject) => {
    const headers = body ? {'Content-Type': 'application/json'} : {};
    const options = {method, headers, agent: false};
    const req = http.request(url, options, res => {
      let text = '';
      res.on('data', chunk => (text += String(chunk)));
      res.on('error', reject);
      res.on('end', () => {
        resolve({status: res.statusCode, headers: res.headers, body: text});
      });
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('timed out')));
    req.on('error', reject);
    req.end(body);
  });
}

/**
 * Sends the call to one node after the other until one confirms it.
 *
 * @returns {Promise<boolean>} false if none has confirmed it in time
 */
export async function callUntilConfirmed(addresses, call, limitMs) {
  const {method, path, body} = call;
  const until = performance.now() + limitMs;
  for (let turn = 0; performance.now() < until; turn += 1) {
    const address = addresses[turn % addresses.length];
    const res = await callControl(address, method, path, body).catch(
      () => undefined,
    );
    if (res && res.status >= 200 && res.status < 300) return true;
    await sleep(100);
  }
  return false;
}

/** A replica of a service that answers each request with its own id. */
export class Replica {
  id;
  service;
  address = '';
  version = 'v1';
  sequence = 0;
  #server;
  #reporting;

  /**
   * @param {string} id
   * @param {string} service
   * @param {(req: http.IncomingMessage, res: http.ServerResponse) => void} run
   *     runs a request that is meant for this replica
   */
  constructor(id, service, run) {
    this.id = id;
    this.service = service;
    this.#server = http.createServer({keepAlive: true}, (req, res) => {
      const isHealth = req.url === '/healthcheck';
      if (isHealth) {
        res.writeHead(200, {'X-Lovagepond-Instance-Id': id}).end();
        return;
      }
      if (req.url.startsWith('/-/')) {
        answerInventory(res);
        return;
      }
      const expected = req.headers['x-lovagepond-expected-instance'];
      if (expected !== undefined && expected !== id) {
        res.writeHead(421, {
          'X-Lovagepond-Attempt-Id': attemptIdOf(req),
          'X-Lovagepond-Not-Executed': '1',
          'Content-Length': 0,
        });
        res.end();
        return;
      }
      run(req, res);
    });
  }

  /** @param {string} [address] */
  async listen(address = '127.0.0.1:0') {
    const [host, port] = address.split(':');
    this.#server.listen(Number(port), host);
    await once(this.#server, 'listening');
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** @returns {string} the next report */
  report(state = 'ready') {
    this.sequence += 1;
    return JSON.stringify({
      Service: this.service,
      Address: this.address,
      Zone: 'hofudborg-0',
      Version: this.version,
      Slots: 6,
      State: state,
      ColdRemainingMs: 0,
      Sequence: this.sequence,
    });
  }

  get path() {
    return `/-/replicas/${this.id}`;
  }

  /** @param {() => string[]} addressesOf nodes that serve the control plane */
  startReports(addressesOf) {
    const send = async () => {
      const body = this.report();
      for (const address of addressesOf()) {
        const sent = await callControl(address, 'PUT', this.path, body).catch(
          () => undefined,
        );
        if (sent?.status === 200) return;
      }
    };
    void send();
    this.#reporting = setInterval(() => void send(), HEARTBEAT_MS);
  }

  stopReports() {
    clearInterval(this.#reporting);
  }

  /** Ends the process of the replica without notice. */
  crash() {
    this.stopReports();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function answerInventory(res) {
  res.writeHead(200, {'Content-Type': 'application/json'});
  res.end(JSON.stringify({epoch: 1, NextToken: 1, held: []}));
}

export function attemptIdOf(req) {
  return String(req.headers['x-lovagepond-attempt-id'] ?? '');
}

/** Headers of a replica's own answers. */
export function signed(id, req) {
  return {
    'X-Lovagepond-Attempt-Id': attemptIdOf(req),
    'X-Lovagepond-Response-Signature': `${id}.${attemptIdOf(req)}`,
  };
}

let lastAttempt = 0;

/**
 * Sends one request to a gateway.
 *
 * @returns {Promise<object>} status, headers, body, and whether the answer is
 *     complete; status 0 if the channel was closed before the head
 */
export function send(gateway, {path, method, body, headers, agent, ...more}) {
  lastAttempt += 1;
  const id = more.id ?? `${process.pid.toString(16)}-${lastAttempt}`;
  const [host, port] = gateway.split(':');
  const sentAt = now();
  return new Promise(resolve => {
    const req = http.request({
      host,
      port,
      path,
      method: method ?? 'GET',
      agent: agent ?? false,
      headers: {
        Host: HOST,
        'X-Lovagepond-Attempt-Id': id,
        'X-Lovagepond-Deadline-Ms': String(more.deadlineMs ?? 1_500),
        'X-Lovagepond-Credential': KEY,
        ...headers,
      },
    });
    const end = result => {
      resolve({id, sentAt, endedAt: now(), ...result});
    };
    req.on('error', err => {
      end({status: 0, headers: {}, body: '', isWhole: false, reason: err.code});
    });
    req.on('response', res => {
      let text = '';
      const {statusCode: status, headers: received} = res;
      res.on('error', () => undefined);
      res.on('data', chunk => (text += String(chunk)));
      res.on('close', () => {
        const isWhole = res.complete;
        end({status, headers: received, body: text, isWhole});
      });
    });
    req.end(body);
  });
}

/** @returns {Promise<boolean>} false if the condition didn't hold in time */
export async function waitFor(condition, limitMs) {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 *
 * @param {Record} record
 * @param {() => Promise<boolean>} play returns whether the rule held
 * @param {() => Promise<void>} end ends everything that was started
 */
export async function runCase(record, play, end) {
  let code = 2;
  const stopped = new Promise((_, reject) => {
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => reject(new Error(`got ${signal}`)));
    }
  });
  const timeUp = async () => {
    await sleep(LIMIT_MS, undefined, {ref: false});
    throw new Error('the case took too long');
  };
  try {
    code = (await Promise.race([play(), timeUp(), stopped])) ? 0 : 1;
  } catch (err) {
    record.say(`the case could not run: ${err.stack}`);
  }
  await end().catch(err => {
    record.say(`the end failed: ${err.message}`);
  });
  record.say(`exit code ${code}`);
  await record.close();
  process.exit(code);
}
