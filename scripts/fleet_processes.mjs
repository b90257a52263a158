// Starts the processes of a set of settings files (examples/*) on free loopback
// ports, with fake backend servers, and stops them by process id.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';
import {parse} from 'ini';

const BUNDLE = 'dist/lovagepond.cjs';
const READY_LIMIT_MS = 20_000;
const READY_CHECK_MS = 50;
const FIRST_PORT = 20_000;
const PORT_SPAN = 12_000;
const PORTS_PER_PROCESS = 64;
const LOOPBACK_PORT = /127\.0\.0\.1:(\d+)/g;
const START_ORDER = ['control', 'sidecar', 'router'];
const TOKEN = 'main-job-token';

let portsTried = 0;

/** @param {number} port @returns {Promise<boolean>} */
async function isFree(port) {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    server.close();
    await once(server, 'close');
    return true;
  } catch {
    return false;
  }
}

/**
 * Finds free ports below the system's range for outgoing connections, as a free
 * port of that range may be in use again a moment later.
 *
 * @param {number} count
 * @returns {Promise<number[]>}
 */
export async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const offset = process.pid * PORTS_PER_PROCESS + portsTried;
    const port = FIRST_PORT + (offset % PORT_SPAN);
    portsTried += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * @param {() => Promise<boolean>} condition
 * @param {string} subject what is awaited, for the error message
 * @param {number} deadline time in milliseconds since the epoch
 */
async function waitUntil(condition, subject, deadline) {
  while (!(await condition())) {
    if (Date.now() > deadline)
      throw new Error(`${subject} was not ready in time`);
    await new Promise(resolve => setTimeout(resolve, READY_CHECK_MS));
  }
}

/** @param {string} url @returns {Promise<boolean>} */
function isOk(url) {
  return fetch(url).then(
    res => res.ok,
    () => false,
  );
}

/** One process with its settings and output. */
class FleetProcess {
  constructor(name, args, {file, settings} = {}) {
    this.name = name;
    this.args = args;
    this.file = file;
    this.settings = settings;
    this.output = '';
    this.child = spawn(process.execPath, [BUNDLE, ...args], {
      env: {...process.env, LOVAGEPOND_TOKEN: TOKEN},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = once(this.child, 'exit').then(([code]) => code);
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on('data', data => {
        this.output += data;
      });
    }
  }

  /** @returns {boolean} whether the process has not exited yet */
  get running() {
    const {exitCode, signalCode} = this.child;
    return exitCode === null && signalCode === null;
  }

  /** @param {NodeJS.Signals} signal */
  signal(signal) {
    this.child.kill(signal);
  }

  /** @param {string} text @returns resolves when the output has the text */
  async printed(text) {
    while (!this.output.includes(text)) {
      await Promise.race([once(this.child.stdout, 'data'), this.exited]);
      if (this.child.exitCode !== null) {
        throw new Error(`${this.name} exited early: ${this.output}`);
      }
    }
  }

  /** @param {NodeJS.Signals} signal @returns the exit code */
  async end(signal) {
    this.child.kill(signal);
    return this.exited;
  }
}

/** The processes of one set of settings files. */
export class Fleet {
  #folder = mkdtempSync(join(tmpdir(), 'lovagepond-fleet-'));
  #processes = new Map();

  /**
   * Copies the set with each of its ports replaced by a free one.
   *
   * @returns name, file and parsed settings of each process
   */
  async prepare(set) {
    cpSync(set, this.#folder, {recursive: true});
    const files = readdirSync(this.#folder).filter(name =>
      name.endsWith('.ini'),
    );
    const texts = files.map(name =>
      readFileSync(join(this.#folder, name), 'utf8'),
    );
    const ports = new Set(
      texts.flatMap(text => [...text.matchAll(LOOPBACK_PORT)].map(m => m[1])),
    );
    const free = await findFreePorts(ports.size);
    const freePorts = new Map(
      [...ports].map((port, index) => [port, free[index]]),
    );
    files.forEach((name, index) => {
      const text = texts[index]
        .replace(LOOPBACK_PORT, (_, port) => `127.0.0.1:${freePorts.get(port)}`)
        .replace(
          /^dataFolder\s*=.*$/m,
          `dataFolder = ${join(this.#folder, 'data', basename(name, '.ini'))}`,
        );
      writeFileSync(join(this.#folder, name), text);
    });
    mkdirSync(join(this.#folder, 'data'));
    return files.map(name => {
      const file = join(this.#folder, name);
      const settings = parse(readFileSync(file, 'utf8'));
      return {name: basename(name, '.ini'), file, settings};
    });
  }

  /**
   * Starts every process, applies the set's configuration and waits until all
   * processes are ready.
   */
  async start(set) {
    const entries = await this.prepare(set);
    for (const {name, settings} of entries) {
      const {kind, url} = settings.backend ?? {};
      if (!url) continue;
      const listen = new URL(url).host;
      this.#run(`${name}-backend`, [`fake-${kind}`, '--listen', listen]);
    }
    const ranked = entries.toSorted(
      (a, b) =>
        START_ORDER.indexOf(a.settings.process.role) -
        START_ORDER.indexOf(b.settings.process.role),
    );
    for (const {name, file, settings} of ranked) {
      this.#run(name, [settings.process.role, '-c', file], {file, settings});
    }
    const deadline = Date.now() + READY_LIMIT_MS;
    await this.#waitFor('control', deadline);
    await this.ctl('apply', '--file', join(this.#folder, 'configuration.json'));
    await this.#waitFor('sidecar', deadline);
    await this.#waitFor('router', deadline);
    await waitUntil(() => this.#hasConverged(), 'membership', deadline);
  }

  /**
   * A router may be ready before it lists every backend server. The next
   * turn of a chat could then go to another server, which lacks the context.
   *
   * @returns {Promise<boolean>} whether all sidecars list their peers, and
   *     control and all routers have the same membership version
   */
  async #hasConverged() {
    const sidecars = await Promise.all(
      this.namesOf('sidecar').map(name => this.dump(name)),
    );
    const pools = sidecars.map(({state}) => state.pool);
    const peersKnown = sidecars.every(
      ({state}) =>
        state.peers + 1 === pools.filter(pool => pool === state.pool).length,
    );
    const others = await Promise.all(
      [...this.namesOf('control'), ...this.namesOf('router')].map(name =>
        this.dump(name),
      ),
    );
    const versions = others.map(({state}) => state.membershipVersion);
    return peersKnown && new Set(versions).size === 1;
  }

  /** @returns the state dump of a process */
  async dump(name) {
    return JSON.parse(await this.#fetchText(name, '/dump'));
  }

  /** @returns {Promise<string>} the metrics of a process */
  metrics(name) {
    return this.#fetchText(name, '/metrics');
  }

  async #fetchText(name, path) {
    const {address} = this.get(name).settings.platform;
    const res = await fetch(`http://${address}${path}`);
    return res.text();
  }

  #run(name, args, source) {
    this.#processes.set(name, new FleetProcess(name, args, source));
  }

  async #waitFor(role, deadline) {
    const checks = [...this.#processes.values()]
      .filter(({settings}) => settings?.process.role === role)
      .map(({name, settings}) => {
        const url = `http://${settings.platform.address}/readyz`;
        return waitUntil(() => isOk(url), name, deadline);
      });
    await Promise.all(checks);
  }

  /** @returns {string[]} names of the processes with a role */
  namesOf(role) {
    return [...this.#processes.values()]
      .filter(({settings}) => settings?.process.role === role)
      .map(({name}) => name);
  }

  /** @returns the process, to signal it or to read its output */
  get(name) {
    return this.#processes.get(name);
  }

  /** @returns {string} base URL of a router for callers */
  callersUrl(name) {
    return `http://${this.get(name).settings.callers.listen}`;
  }

  /** Runs one `ctl` command with every control member, running or not. */
  async ctl(...args) {
    const urls = this.namesOf('control')
      .map(name => this.get(name).settings.administration.listen)
      .join(',');
    const process = new FleetProcess('ctl', [
      'ctl',
      ...args,
      '--control',
      urls,
      '--json',
    ]);
    const code = await process.exited;
    if (code !== 0) throw new Error(`ctl ${args.join(' ')}: ${process.output}`);
    return JSON.parse(process.output);
  }

  /** Restarts an exited process and by default waits until it is ready. */
  async restart(name, {waits = true} = {}) {
    const {args, file, settings} = this.get(name);
    this.#run(name, args, {file, settings});
    if (!waits) return;
    const url = `http://${settings.platform.address}/readyz`;
    await waitUntil(() => isOk(url), name, Date.now() + READY_LIMIT_MS);
  }

  /** @returns {string[]} the output of each process */
  outputs() {
    return [...this.#processes.values()].map(
      ({name, output}) => `--- ${name}\n${output}`,
    );
  }

  /** Stops all processes by their ids and removes the folder. */
  async end() {
    const processes = [...this.#processes.values()];
    await Promise.all(processes.map(process => process.end('SIGKILL')));
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

/**
 * Streams one chat answer.
 *
 * @returns {Promise<{status: number, text: string, cachedTokens: number}>}
 */
export async function streamChat(
  baseUrl,
  {workspace, chat, messages, maxTokens},
) {
  const res = await fetch(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-lovagepond-workspace': workspace,
      'x-lovagepond-chat': chat,
    },
    body: JSON.stringify({
      model: 'any',
      stream: true,
      messages,
      max_tokens: maxTokens,
    }),
  });
  const body = await res.text();
  const events = body
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)));
  const text = events
    .map(event => event.choices?.[0]?.delta?.content ?? '')
    .join('');
  const usage = events.findLast(event => event.usage)?.usage;
  return {
    status: res.status,
    text,
    body,
    whole: body.trimEnd().endsWith('data: [DONE]'),
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
