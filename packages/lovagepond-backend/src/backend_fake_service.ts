/**
 * A fake plain service over HTTP, with fault injection, that counts how often
 * each call has run.
 */
import {type ServerResponse} from 'node:http';
import {type App, type Request, type Response} from '@tinyhttp/app';
import {type DrainResult, type Role, type StateDump, z} from '@lovagepond/core';
import {
  addFakeControls,
  FakeListener,
  makeFakeRoutes,
  readAll,
  sendJson,
} from './backend_fake_http.js';
import {TimerSet} from './backend_timer_utils.js';

/** Schema of the faults in the body of a control request. */
const fakeServiceFaultsSchema = z.strictObject({
  /**
   * How a call fails: the connection is cut before or after the run, or the
   * answer is never sent, truncated, or another call's answer.
   */
  mode: z
    .enum(['cutBeforeRun', 'cutAfterRun', 'stall', 'truncate', 'cross'])
    .optional(),
  answerDelayMs: z.number().int().min(0).optional(),
  /** Number of calls affected by the mode; default is all. */
  requests: z.number().int().min(0).optional(),
});

/** Active faults of a fake service; omitted ones don't occur. */
export type FakeServiceFaults = Readonly<
  z.infer<typeof fakeServiceFaultsSchema>
>;

export interface FakeServiceSettings {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
}

/** The service's answer to a call. */
export interface FakeServiceAnswer {
  readonly requestId: string;
  readonly path: string;
  /** Number of runs so far with this idempotency key, or id without a key. */
  readonly runs: number;
}

type FaultMode = NonNullable<FakeServiceFaults['mode']>;

interface FakeCall {
  readonly res: ServerResponse;
  readonly run: () => FakeServiceAnswer;
}

const CROSSED_ID = 'another-request';

function sendAnswer(res: ServerResponse, answer: FakeServiceAnswer): void {
  res.setHeader('x-request-id', answer.requestId);
  sendJson(res, 200, answer);
}

const FAULT_HANDLERS: Readonly<Record<FaultMode, (call: FakeCall) => void>> = {
  cutBeforeRun: ({res}) => {
    res.destroy();
  },
  cutAfterRun: ({res, run}) => {
    run();
    res.destroy();
  },
  stall: ({run}) => {
    run();
  },
  truncate: ({res, run}) => {
    const body = JSON.stringify(run());
    res.writeHead(200, {'content-length': String(body.length)});
    res.write(body.slice(0, body.length / 2), () => res.destroy());
  },
  cross: ({res, run}) => {
    sendAnswer(res, {...run(), requestId: CROSSED_ID});
  },
};

/** Serves calls and counts how often each has run. */
export class FakeServiceServer implements Role {
  readonly #settings: FakeServiceSettings;
  readonly #listener: FakeListener;
  readonly #runs = new Map<string, number>();
  readonly #timers = new TimerSet();
  #faults: FakeServiceFaults = {};
  #faultyCalls = 0;
  #ready = false;

  /** @param settings the address to listen on */
  constructor(settings: FakeServiceSettings) {
    this.#settings = settings;
    this.#listener = new FakeListener(this.#makeRoutes());
  }

  /** `host:port` in use. */
  get address(): string {
    return `${this.#settings.host}:${this.#listener.port}`;
  }

  /** Number of runs by idempotency key, or by request id without a key. */
  get runs(): ReadonlyMap<string, number> {
    return this.#runs;
  }

  async start(): Promise<void> {
    await this.#listener.listen(this.#settings.port, this.#settings.host);
    this.#ready = true;
  }

  isReady(): boolean {
    return this.#ready;
  }

  drain(): Promise<DrainResult> {
    return Promise.resolve({unfinished: 0});
  }

  async stop(): Promise<void> {
    this.#ready = false;
    this.#timers.stop();
    await this.#listener.close();
  }

  dump(): StateDump {
    const runs = Object.fromEntries(this.#runs);
    return {version: 1, role: 'fake-service', state: {runs}};
  }

  /** @param faults replaces the faults that are injected */
  setFaults(faults: FakeServiceFaults): void {
    this.#faults = faults;
    this.#faultyCalls = faults.requests ?? Infinity;
  }

  /** Makes all open connections unresponsive; new ones work. */
  silence(): void {
    this.#listener.silence();
  }

  #makeRoutes(): App {
    const app = makeFakeRoutes();
    addFakeControls(app, this, fakeServiceFaultsSchema);
    app.post('/*', (req, res) => this.#call(req, res));
    return app;
  }

  async #call(req: Request, res: Response): Promise<void> {
    await readAll(req);
    const {mode, answerDelayMs = 0} = this.#faults;
    const faulty = mode !== undefined && this.#faultyCalls > 0;
    if (faulty) this.#faultyCalls -= 1;
    const run = (): FakeServiceAnswer => this.#run(req);
    const answer = (): void => {
      if (faulty) FAULT_HANDLERS[mode]({res, run});
      else sendAnswer(res, run());
    };
    if (answerDelayMs === 0) answer();
    else this.#timers.start(answerDelayMs, answer);
  }

  #run(req: Request): FakeServiceAnswer {
    const requestId = String(req.headers['x-request-id'] ?? '');
    const key = String(req.headers['idempotency-key'] ?? requestId);
    const runs = (this.#runs.get(key) ?? 0) + 1;
    this.#runs.set(key, runs);
    return {requestId, path: req.originalUrl, runs};
  }
}
