/**
 * Adapter for a model engine over HTTP/1.1 with server-sent events.
 */
import {
  type ErrorKind,
  type Failure,
  makeFailure,
  type Random,
  type Result,
  type Unregister,
  type z,
} from '@lovagepond/core';
import {CacheSubscription} from './backend_cache_subscription.js';
import {
  ENGINE_HEADER,
  ENGINE_PATH,
  loadSchema,
  orderOutcomeSchema,
} from './backend_engine_protocol.js';
import {
  HttpBackendClient,
  type HttpClientSettings,
  type BufferedOutcome,
} from './backend_http_client.js';
import {type ExchangeRequest, LOSS} from './backend_http_exchange.js';
import {HttpEngineRun} from './backend_http_run.js';
import {
  type CacheEvent,
  type CacheKey,
  type EngineEvent,
  type EngineOrder,
  type EngineOrderOutcome,
  type EngineRequest,
  type ExportedCache,
  type LoadReport,
  type ModelEngine,
} from './backend_model_engine.js';
import {startTimer} from './backend_timer_utils.js';
import {
  type ServerNoticeListener,
  ServerNotices,
} from './backend_server_notices.js';

/** Limits and timeouts of the connections to one engine. */
export interface HttpEngineSettings extends HttpClientSettings {
  /** Maximum size of one chat's exported KV cache. */
  readonly maxCacheBytes: number;
}

export const DEFAULT_MAX_CACHE_BYTES = 64 * 1024 * 1024;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const TRANSFER_CONNECTIONS = 4;

type Answer = Extract<BufferedOutcome, {kind: 'answered'}>;

function failed(
  kind: ErrorKind,
  message?: string,
): {
  readonly ok: false;
  readonly failure: Failure;
} {
  const details = message === undefined ? {} : {message};
  return {ok: false, failure: makeFailure(kind, details)};
}

function expectOk(outcome: BufferedOutcome): Result<Answer> {
  if (outcome.kind === 'tooLarge') {
    return failed('backendFailed', 'The answer is larger than allowed.');
  }
  if (outcome.kind === 'lost') {
    if (!outcome.dispatched) return failed('unreachable');
    const silent = outcome.loss === LOSS.SILENT;
    return failed(silent ? 'backendSilent' : 'backendFailed');
  }
  if (outcome.status === HTTP_OK) return {ok: true, value: outcome};
  if (outcome.status === HTTP_NOT_FOUND) return failed('notFound');
  return failed('backendFailed', `The engine answered ${outcome.status}.`);
}

function readJson<Value>(
  outcome: BufferedOutcome,
  schema: z.ZodType<Value>,
): Result<Value> {
  const answer = expectOk(outcome);
  if (!answer.ok) return answer;
  try {
    const parsed = schema.safeParse(JSON.parse(answer.value.body.toString()));
    if (parsed.success) return {ok: true, value: parsed.data};
  } catch {
    // Invalid JSON fails like a message that does not match the schema.
  }
  return failed('backendFailed', 'The engine sent JSON of another shape.');
}

function cachePath(key: CacheKey): string {
  const query = new URLSearchParams({workspace: key.workspace, chat: key.chat});
  return `${ENGINE_PATH.CACHE}?${query.toString()}`;
}

/** Client for one engine that implements the protocol of docs/PROTOCOLS.md. */
export class HttpModelEngine implements ModelEngine {
  readonly #notices = new ServerNotices();
  readonly #client: HttpBackendClient;
  /** Separate, so that cache transfers take no connections from requests. */
  readonly #transfers: HttpBackendClient;
  readonly #random: Random;
  readonly #runs = new Map<string, HttpEngineRun>();
  readonly #subscriptions = new Map<CacheSubscription, Unregister>();

  /**
   * @param settings the engine's origin, limits and timeouts
   * @param random adds jitter to reconnect delays
   */
  constructor(settings: HttpEngineSettings, random: Random) {
    this.#client = new HttpBackendClient(settings, this.#notices);
    const transferSettings = {
      ...settings,
      maxConnections: TRANSFER_CONNECTIONS,
      maxWholeBytes: settings.maxCacheBytes,
    };
    this.#transfers = new HttpBackendClient(transferSettings, this.#notices);
    this.#random = random;
  }

  onNotice(listener: ServerNoticeListener): Unregister {
    return this.#notices.register(listener);
  }

  async *run(
    request: EngineRequest,
    now: number,
  ): AsyncGenerator<EngineEvent, void> {
    const left = request.deadline - now;
    if (left <= 0) {
      yield {kind: 'failed', failure: makeFailure('deadlineUnreachable')};
      return;
    }
    const run = new HttpEngineRun(this.#client, request);
    this.#runs.set(request.requestId, run);
    const timer = startTimer(left, () => {
      run.abort('deadlineExceeded');
    });
    try {
      yield* run.events();
    } finally {
      clearTimeout(timer);
      if (this.#runs.get(request.requestId) === run) {
        this.#runs.delete(request.requestId);
      }
      if (run.isAbandoned) this.#sendCancel(request.requestId);
    }
  }

  cancel(requestId: string): void {
    this.#runs.get(requestId)?.abort('callerGone');
  }

  async exportCache(key: CacheKey): Promise<Result<ExportedCache>> {
    const outcome = await this.#transfers.sendIdempotent(
      this.#request('GET', cachePath(key)),
    );
    const answer = expectOk(outcome);
    if (!answer.ok) return answer;
    const {headers, body} = answer.value;
    const tokens = Number(headers[ENGINE_HEADER.CACHE_TOKENS]);
    if (Number.isSafeInteger(tokens) && tokens > 0) {
      return {ok: true, value: {tokens, bytes: body}};
    }
    return failed('backendFailed', 'The engine told no length of the context.');
  }

  async importCache(
    key: CacheKey,
    cache: ExportedCache,
  ): Promise<Result<boolean>> {
    const outcome = await this.#transfers.sendIdempotent({
      ...this.#request('PUT', cachePath(key)),
      headers: {
        'content-type': 'application/octet-stream',
        [ENGINE_HEADER.CACHE_TOKENS]: String(cache.tokens),
      },
      body: cache.bytes,
    });
    const answer = expectOk(outcome);
    return answer.ok ? {ok: true, value: true} : answer;
  }

  subscribeCache(listener: (event: CacheEvent) => void): Unregister {
    const subscription = new CacheSubscription(
      this.#client,
      this.#random,
      listener,
    );
    const end = subscription.start();
    this.#subscriptions.set(subscription, end);
    return () => {
      this.#subscriptions.delete(subscription);
      end();
    };
  }

  async loadReport(now: number): Promise<Result<LoadReport>> {
    const outcome = await this.#client.sendIdempotent(
      this.#request('GET', ENGINE_PATH.LOAD),
    );
    const parsed = readJson(outcome, loadSchema);
    if (!parsed.ok) return parsed;
    const load = parsed.value;
    for (const subscription of this.#subscriptions.keys()) {
      subscription.updateIncarnation(load.incarnation);
    }
    return {
      ok: true,
      value: {
        incarnation: load.incarnation,
        runningTokens: load.running_tokens,
        waitingTokens: load.waiting_tokens,
        runningRequests: load.running_requests,
        capacityTokens: load.capacity_tokens,
        cachedTokens: load.cached_tokens,
        measuredAt: now - load.age_ms,
        models: load.models,
      },
    };
  }

  async order(order: EngineOrder): Promise<Result<EngineOrderOutcome>> {
    const body = {
      order_id: order.orderId,
      fencing_token: order.fencingToken,
      action: order.action,
      arguments: order.arguments,
    };
    const outcome = await this.#client.sendIdempotent({
      ...this.#request('POST', ENGINE_PATH.ORDERS),
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify(body)),
    });
    return readJson(outcome, orderOutcomeSchema);
  }

  async close(): Promise<void> {
    for (const run of this.#runs.values()) run.abort('callerGone');
    for (const end of this.#subscriptions.values()) end();
    this.#subscriptions.clear();
    await Promise.all([this.#client.close(), this.#transfers.close()]);
  }

  #request(method: ExchangeRequest['method'], path: string): ExchangeRequest {
    const {silenceMs} = this.#client.settings;
    return {method, path, headers: {}, silenceMs};
  }

  #sendCancel(requestId: string): void {
    const path = ENGINE_PATH.REQUESTS + encodeURIComponent(requestId);
    void this.#client.sendIdempotent(this.#request('DELETE', path));
  }
}
