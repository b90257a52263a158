/**
 * A fake model engine behind HTTP, with fault injection.
 */
import {type App, type Request, type Response} from '@tinyhttp/app';
import {
  type Clock,
  type DrainResult,
  type Role,
  type StateDump,
  z,
} from '@lovagepond/core';
import {
  ENGINE_HEADER,
  ENGINE_PATH,
  orderSchema,
} from './backend_engine_protocol.js';
import {type FakeJob} from './backend_fake_batch.js';
import {FakeEngine, type FakeEngineSettings} from './backend_fake_engine.js';
import {
  type FakeEngineCounters,
  FakeEngineHost,
} from './backend_fake_engine_host.js';
import {
  FAKE_PATH,
  type FakeFaults,
  fakeFaultsSchema,
} from './backend_fake_faults.js';
import {
  addDelayedControl,
  addFakeControls,
  FakeListener,
  makeFakeRoutes,
  parseJsonBody,
  readAll,
  sendJson,
} from './backend_fake_http.js';

/** Address and behavior of the fake engine. */
export interface FakeEngineServerSettings extends FakeEngineSettings {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly heartbeatMs: number;
  /** How long an answer can be resumed after its connection was lost. */
  readonly resumeWindowMs: number;
  /** Size of an exported KV cache per token. */
  readonly cacheBytesPerToken: number;
  /** Answer length of a request without a token limit. */
  readonly defaultAnswerTokens: number;
}

export const DEFAULT_FAKE_SERVER_SETTINGS = Object.freeze({
  host: '127.0.0.1',
  port: 0,
  heartbeatMs: 500,
  resumeWindowMs: 10_000,
  cacheBytesPerToken: 16,
  defaultAnswerTokens: 32,
});

const completionSchema = z.object({
  messages: z.array(z.object({content: z.unknown()})).default([]),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});
const CHARACTERS_PER_TOKEN = 4;
const MAX_PRIORITY = 9;

function headerOf(req: Request, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

function makeJob(
  req: Request,
  body: Uint8Array,
  defaultAnswerTokens: number,
): FakeJob | undefined {
  const parsed = completionSchema.safeParse(parseJsonBody(body));
  if (!parsed.success) return undefined;
  const {messages, max_tokens: limit} = parsed.data;
  const text = JSON.stringify(messages.map(message => message.content));
  const wanted = parsed.data.max_completion_tokens ?? limit;
  return {
    requestId: headerOf(req, ENGINE_HEADER.REQUEST_ID),
    workspace: headerOf(req, ENGINE_HEADER.WORKSPACE),
    chat: headerOf(req, ENGINE_HEADER.CHAT),
    promptTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    answerTokens: wanted ?? defaultAnswerTokens,
    priority: Math.min(
      MAX_PRIORITY,
      Number(headerOf(req, ENGINE_HEADER.PRIORITY)) || 0,
    ),
  };
}

export class FakeEngineServer implements Role {
  readonly #settings: FakeEngineServerSettings;
  readonly #clock: Clock;
  readonly #engine: FakeEngine;
  readonly #listener: FakeListener;
  readonly #subscribers = new Map<Response, number>();
  readonly #host: FakeEngineHost;
  #heartbeat: NodeJS.Timeout | undefined;

  /**
   * @param settings address, speed, size and behavior
   * @param deps the clock
   */
  constructor(
    settings: FakeEngineServerSettings,
    deps: {readonly clock: Clock},
  ) {
    this.#settings = settings;
    this.#clock = deps.clock;
    this.#engine = new FakeEngine(settings);
    this.#listener = new FakeListener(this.#makeRoutes());
    this.#host = new FakeEngineHost({
      engine: this.#engine,
      clock: deps.clock,
      resumeWindowMs: settings.resumeWindowMs,
      cutConnections: () => {
        this.#listener.cutAll();
      },
    });
  }

  /** `host:port` in use. */
  get address(): string {
    return `${this.#settings.host}:${this.#listener.port}`;
  }

  /** The engine, for tests in the same process. */
  get engine(): FakeEngine {
    return this.#engine;
  }

  /** Counts of requests and other calls so far. */
  get counters(): FakeEngineCounters {
    return this.#host.counters;
  }

  async start(): Promise<void> {
    await this.#listener.listen(this.#settings.port, this.#settings.host);
    this.#heartbeat = setInterval(() => {
      this.#onHeartbeat();
    }, this.#settings.heartbeatMs);
  }

  isReady(): boolean {
    return this.#heartbeat !== undefined;
  }

  drain(): Promise<DrainResult> {
    return Promise.resolve({unfinished: 0});
  }

  async stop(): Promise<void> {
    clearInterval(this.#heartbeat);
    this.#host.stop();
    this.#heartbeat = undefined;
    await this.#listener.close();
  }

  dump(): StateDump {
    const state = {
      counters: this.counters,
      incarnation: this.#engine.incarnation,
      models: this.#engine.models,
      role: this.#engine.role,
      streams: this.#host.streams,
    };
    return {version: 1, role: 'fake-engine', state};
  }

  /** @param faults replaces the faults that are injected */
  setFaults(faults: FakeFaults): void {
    this.#host.setFaults(faults);
  }

  /** Makes all open connections unresponsive; new ones work. */
  silence(): void {
    this.#listener.silence();
  }

  /** Restarts the engine: connections, streams and cache are lost. */
  restart(): void {
    this.#host.restart();
  }

  #makeRoutes(): App {
    const app = makeFakeRoutes();
    app.get(ENGINE_PATH.LOAD, (_req, res) => {
      this.#sendLoad(res);
    });
    app.get(ENGINE_PATH.CACHE_EVENTS, (req, res) => {
      this.#subscribe(req, res);
    });
    app.get(ENGINE_PATH.CACHE, (req, res) => {
      this.#exportCache(req, res);
    });
    app.put(ENGINE_PATH.CACHE, (req, res) => this.#importCache(req, res));
    app.post(ENGINE_PATH.ORDERS, (req, res) => this.#takeOrder(req, res));
    app.delete(`${ENGINE_PATH.REQUESTS}:id`, (req, res) => {
      const cancelled = this.#host.cancel(req.params['id'] ?? '');
      sendJson(res, 200, {cancelled});
    });
    addFakeControls(app, this, fakeFaultsSchema);
    addDelayedControl(app, FAKE_PATH.RESTART, () => {
      this.restart();
    });
    app.post('/v1/*', (req, res) => this.#complete(req, res));
    return app;
  }

  async #complete(req: Request, res: Response): Promise<void> {
    const body = await readAll(req);
    const job = makeJob(req, body, this.#settings.defaultAnswerTokens);
    if (!job?.requestId) {
      sendJson(res, 400, {error: {message: 'not a completion with an id'}});
      return;
    }
    const offset = Number(headerOf(req, ENGINE_HEADER.RESUME_FROM)) || 0;
    this.#host.complete(job, offset, res);
  }

  #sendLoad(res: Response): void {
    const now = this.#clock.now();
    const report = this.#engine.loadReport(now);
    sendJson(res, 200, {
      incarnation: report.incarnation,
      running_tokens: report.runningTokens,
      waiting_tokens: report.waitingTokens,
      running_requests: report.runningRequests,
      capacity_tokens: report.capacityTokens,
      cached_tokens: report.cachedTokens,
      age_ms: Math.max(0, now - report.measuredAt),
      models: report.models,
    });
  }

  #exportCache(req: Request, res: Response): void {
    const {workspace, chat} = cacheKeyOf(req);
    const tokens = this.#engine.cachedTokens({workspace, chat});
    if (tokens === 0) {
      sendJson(res, 404, {error: {message: 'the chat is cold'}});
      return;
    }
    const body = Buffer.alloc(tokens * this.#settings.cacheBytesPerToken, chat);
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': String(body.length),
      [ENGINE_HEADER.CACHE_TOKENS]: String(tokens),
    });
    res.end(body);
  }

  async #importCache(req: Request, res: Response): Promise<void> {
    const body = await readAll(req);
    const tokens = Number(headerOf(req, ENGINE_HEADER.CACHE_TOKENS)) || 0;
    const whole = body.length === tokens * this.#settings.cacheBytesPerToken;
    const now = this.#clock.now();
    const key = cacheKeyOf(req);
    const taken = whole && this.#engine.importCache(key, tokens, now);
    sendJson(res, taken ? 200 : 409, {imported: taken});
  }

  async #takeOrder(req: Request, res: Response): Promise<void> {
    const parsed = orderSchema.safeParse(parseJsonBody(await readAll(req)));
    if (!parsed.success) {
      sendJson(res, 400, {error: {message: 'not an order'}});
      return;
    }
    this.#host.countOrder();
    const {order_id: orderId, fencing_token: fencingToken} = parsed.data;
    const outcome = this.#engine.order({
      orderId,
      fencingToken,
      action: parsed.data.action,
      arguments: parsed.data.arguments,
    });
    sendJson(res, 200, outcome);
  }

  #subscribe(req: Request, res: Response): void {
    const query = new URLSearchParams(req.originalUrl.split('?')[1]);
    const same = query.get('incarnation') === this.#engine.incarnation;
    this.#subscribers.set(res, same ? Number(query.get('after')) || 0 : 0);
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.flushHeaders();
    res.on('close', () => this.#subscribers.delete(res));
    this.#publish(res);
  }

  #publish(res: Response): void {
    const after = this.#subscribers.get(res) ?? 0;
    const now = this.#clock.now();
    for (const change of this.#engine.cacheChangesAfter(after, now)) {
      const {key, ...rest} = change;
      const incarnation = this.#engine.incarnation;
      const event = {...rest, ...key, incarnation};
      res.write(`data: ${JSON.stringify(event)}\n\n`);
      this.#subscribers.set(res, change.sequence);
    }
  }

  #onHeartbeat(): void {
    this.#host.sendHeartbeats();
    const sequence = this.#engine.cachePosition(this.#clock.now());
    const {incarnation} = this.#engine;
    const position = JSON.stringify({kind: 'position', incarnation, sequence});
    for (const res of this.#subscribers.keys()) {
      this.#publish(res);
      res.write(`data: ${position}\n\n`);
    }
  }
}

function cacheKeyOf(req: Request): {workspace: string; chat: string} {
  const query = new URLSearchParams(req.originalUrl.split('?')[1]);
  const workspace = query.get('workspace') ?? '';
  return {workspace, chat: query.get('chat') ?? ''};
}
