/**
 * HTTP client for one backend server, with a connection pool. A request can
 * also be sent over a new connection outside the pool.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {Client, Pool} from 'undici';
import {
  type ExchangeRequest,
  HttpExchange,
  type Loss,
  LOSS,
} from './backend_http_exchange.js';
import {type ServerNotices} from './backend_server_notices.js';

/** Limits and timeouts of the connections to one backend server. */
export interface HttpClientSettings {
  /** For example `http://127.0.0.1:8000`. */
  readonly origin: string;
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /** Timeout without a received byte while waiting for an answer. */
  readonly silenceMs: number;
  /** Maximum size of an answer that is read into memory. */
  readonly maxWholeBytes: number;
}

/** Default settings without the origin. */
export const DEFAULT_HTTP_CLIENT_SETTINGS = Object.freeze({
  maxConnections: 512,
  connectTimeoutMs: 2_000,
  silenceMs: 5_000,
  maxWholeBytes: 4 * 1024 * 1024,
});

/** Plain services may take long before they send the first byte. */
export const DEFAULT_SERVICE_CLIENT_SETTINGS = Object.freeze({
  ...DEFAULT_HTTP_CLIENT_SETTINGS,
  silenceMs: 30_000,
});

/** A complete answer, or the reason why there is none. */
export type BufferedOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | {readonly kind: 'lost'; readonly loss: Loss; readonly dispatched: boolean}
  | {readonly kind: 'tooLarge'};

const MAX_HEADER_BYTES = 32 * 1024;
const IDLE_CONNECTION_MS = 4_000;

export class HttpBackendClient {
  readonly #settings: HttpClientSettings;
  readonly #notices: ServerNotices;
  readonly #pool: Pool;
  readonly #fresh = new Set<Client>();

  /**
   * @param settings the server's origin, limits and timeouts
   * @param notices gets what the server's responses say about it
   */
  constructor(settings: HttpClientSettings, notices: ServerNotices) {
    this.#settings = settings;
    this.#notices = notices;
    this.#pool = new Pool(settings.origin, {
      ...this.#clientOptions(),
      connections: settings.maxConnections,
    });
  }

  get settings(): HttpClientSettings {
    return this.#settings;
  }

  /**
   * @param request the request to send
   * @param fresh whether to use a new connection instead of the pool
   * @returns the started exchange
   */
  send(request: ExchangeRequest, fresh: boolean): HttpExchange {
    const exchange = new HttpExchange(this.#notices);
    if (!fresh) {
      exchange.start(this.#pool, request);
      return exchange;
    }
    const client = new Client(this.#settings.origin, this.#clientOptions());
    this.#fresh.add(client);
    exchange.start(client, request);
    // Closes the connection once the exchange has ended.
    void client
      .close()
      .catch(() => {})
      .finally(() => this.#fresh.delete(client));
    return exchange;
  }

  /**
   * Sends a request and reads its complete answer.
   *
   * @param request the request to send
   * @param fresh whether to use a new connection instead of the pool
   * @param signal aborts the request
   * @returns the answer, or the reason why there is none; never throws
   */
  async sendBuffered(
    request: ExchangeRequest,
    fresh: boolean,
    signal?: AbortSignal,
  ): Promise<BufferedOutcome> {
    if (signal?.aborted) {
      return {kind: 'lost', loss: LOSS.ABORTED, dispatched: false};
    }
    const exchange = this.send(request, fresh);
    const abort = (): void => {
      exchange.abort();
    };
    signal?.addEventListener('abort', abort);
    try {
      return await this.#collect(exchange);
    } finally {
      signal?.removeEventListener('abort', abort);
    }
  }

  /**
   * Like {@link HttpBackendClient.sendBuffered}, but retries once over a new
   * connection when the pooled one failed. A connection whose state a device on
   * the network path has dropped stays silent forever while new ones work. Only
   * a second failure is attributed to the server.
   *
   * @param request the request to send; idempotent
   * @returns the answer, or the reason why the last attempt failed
   */
  async sendIdempotent(request: ExchangeRequest): Promise<BufferedOutcome> {
    const first = await this.sendBuffered(request, false);
    return first.kind === 'lost' ? this.sendBuffered(request, true) : first;
  }

  /** Closes all connections and aborts requests in flight. */
  async close(): Promise<void> {
    const clients = [...this.#fresh];
    await Promise.all([
      this.#pool.destroy(),
      ...clients.map(client => client.destroy()),
    ]);
  }

  #clientOptions(): Client.Options {
    return {
      pipelining: 1,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      connect: {timeout: this.#settings.connectTimeoutMs},
      maxHeaderSize: MAX_HEADER_BYTES,
    };
  }

  async #collect(exchange: HttpExchange): Promise<BufferedOutcome> {
    const chunks: Buffer[] = [];
    let length = 0;
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    for await (const event of exchange.events()) {
      if (event.kind === 'head') ({status, headers} = event);
      if (event.kind === 'lost') return event;
      if (event.kind !== 'chunk') continue;
      chunks.push(event.bytes);
      length += event.bytes.length;
      if (length > this.#settings.maxWholeBytes) return {kind: 'tooLarge'};
    }
    const body = Buffer.concat(chunks, length);
    return {kind: 'answered', status, headers, body};
  }
}
