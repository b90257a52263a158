/**
 * The process of the stand-in servers: small HTTP servers on loopback that
 * behave as gateways expect of backend servers without a sidecar.
 */
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {DEFAULT_HEADER_NAMES} from '@lovagepond/gateway';
import {
  type BackendCommand,
  type BackendReply,
  type BackendSpec,
} from './overload_types.js';
import {BackendWork, type Job, WorkCounts} from './overload_work.js';

const NAMES = DEFAULT_HEADER_NAMES;
const PERCENT = 100;
const LEAST_URGENT = 9;

/** One stand-in server; it keeps its port when it crashes and comes back. */
class StandInBackend {
  readonly #spec: BackendSpec;
  readonly #counts: WorkCounts;
  readonly #constantFactor: number;
  #work: BackendWork;
  #server: Server;
  #port = 0;
  #slowdown = 1;

  constructor(spec: BackendSpec, counts: WorkCounts, constantFactor: number) {
    this.#spec = spec;
    this.#counts = counts;
    this.#constantFactor = constantFactor;
    this.#work = this.#makeWork();
    this.#server = createServer();
  }

  /** @returns the port */
  async listen(): Promise<number> {
    this.#work = this.#makeWork();
    this.#server = createServer({keepAliveTimeout: 0}, (req, res) => {
      req.resume();
      req.on('end', () => {
        this.#serve(req, res);
      });
    });
    this.#server.listen(this.#port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#port = (this.#server.address() as AddressInfo).port;
    return this.#port;
  }

  crash(): void {
    this.#work.isStopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** @param factor multiple of the usual durations, which the header reports */
  slowDown(factor: number): void {
    this.#slowdown = factor;
    this.#work.factor = this.#constantFactor * factor;
  }

  #makeWork(): BackendWork {
    const work = new BackendWork(this.#spec, this.#counts);
    work.factor = this.#constantFactor * this.#slowdown;
    return work;
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const now = performance.now();
    const fieldOf = (name: string): string => String(req.headers[name] ?? '');
    const id = fieldOf(NAMES.requestId);
    const parts = fieldOf(NAMES.promptParts).split(',').filter(Boolean);
    const work = this.#work;
    const job: Job = {
      id,
      arrivedAt: now,
      deadlineAt: now + Number(fieldOf(NAMES.deadlineMs) || Infinity),
      priority: Number(fieldOf(NAMES.enginePriority) || LEAST_URGENT),
      parts: parts.map(part => {
        const [name = '', tokens] = part.split(':');
        return {id: name, tokens: Number(tokens)};
      }),
      onRefused: () => {
        const notRun = {[NAMES.notRun]: '1', 'Content-Length': 0};
        res.writeHead(503, {...this.#headers(id), ...notRun});
        res.end();
      },
      onEvent: (number, isLast) => {
        this.#send(id, res, number, isLast);
      },
    };
    res.on('close', () => {
      if (!res.writableFinished) work.cancel(job, performance.now());
    });
    work.arrive(job, now);
  }

  #send(
    id: string,
    res: ServerResponse,
    number: number,
    isLast: boolean,
  ): void {
    if (!res.headersSent) {
      const isCall = this.#spec.kind === 'service';
      const type = isCall ? 'text/plain' : 'text/event-stream';
      res.writeHead(200, {...this.#headers(id), 'Content-Type': type});
    }
    const event = `id: ${number}\ndata: x\n\n`;
    if (isLast) res.end(event);
    else res.write(event);
  }

  #headers(id: string): Record<string, string> {
    const {running, waiting} = this.#work.load;
    const load = [running, waiting, this.#spec.slots];
    if (this.#slowdown !== 1) load.push(this.#slowdown * PERCENT);
    return {
      [NAMES.requestId]: id,
      [NAMES.signature]: 'signed',
      [NAMES.serverLoad]: load.join(','),
    };
  }
}

/** Runs the commands of the measurement until it disconnects. */
export function runBackendProcess(): void {
  const counts = new WorkCounts();
  const backends: StandInBackend[] = [];
  const run = async (command: BackendCommand): Promise<BackendReply> => {
    if (command.kind === 'start') {
      const {spec} = command;
      for (let at = 0; at < spec.count; at += 1) {
        const factor = at === 0 ? spec.firstServerFactor : 1;
        backends.push(new StandInBackend(spec, counts, factor));
      }
      const ports = await Promise.all(backends.map(one => one.listen()));
      return {kind: 'started', ports};
    }
    if (command.kind === 'count') return {kind: 'counted', counts};
    for (const at of command.servers) {
      if (command.kind === 'slow') backends[at]?.slowDown(command.factor);
      else if (command.kind === 'crash') backends[at]?.crash();
      else await backends[at]?.listen();
    }
    return {kind: 'done'};
  };
  process.on('message', command => {
    void run(command as BackendCommand).then(reply => process.send?.(reply));
  });
  process.on('disconnect', () => process.exit());
}
