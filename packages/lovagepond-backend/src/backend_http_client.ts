/**
 * Connections to one backend server: a pool, and fresh ones beside it.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {Client, Pool} from 'undici';
import {
  type ExchangeRequest,
  HttpExchange,
  type Loss,
  LOSS,
} from './backend_http_exchange.js';

/** Bounds of the connections to one backend server. */
export interface HttpClientSettings {
  /** For example `http://127.0.0.1:8000`. */
  readonly origin: string;
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /** Longest time without a byte on a connection that waits for an answer. */
  readonly silenceMs: number;
  /** Largest answer that is read as a whole. */
  readonly maxWholeBytes: number;
}

/** Defaults; the origin is always set. */
export const DEFAULT_HTTP_CLIENT_SETTINGS = Object.freeze({
  maxConnections: 512,
  connectTimeoutMs: 2_000,
  silenceMs: 5_000,
  maxWholeBytes: 4 * 1024 * 1024,
});

/** Plain services may work on a call for long before the first byte. */
export const DEFAULT_SERVICE_CLIENT_SETTINGS = Object.freeze({
  ...DEFAULT_HTTP_CLIENT_SETTINGS,
  silenceMs: 30_000,
});

/** A whole answer, or how it was lost. */
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

/** Sends exchanges to one backend server. */
export class HttpBackendClient {
  readonly #settings: HttpClientSettings;
  readonly #pool: Pool;
  readonly #fresh = new Set<Client>();

  /** @param settings the server's origin and the bounds */
  constructor(settings: HttpClientSettings) {
    this.#settings = settings;
    this.#pool = new Pool(settings.origin, {
      ...this.#clientOptions(),
      connections: settings.maxConnections,
    });
  }

  get settings(): HttpClientSettings {
    return this.#settings;
  }

  /**
   * @param request what to send
   * @param fresh over a new connection and not one of the pool
   * @returns the exchange, started
   */
  send(request: ExchangeRequest, fresh: boolean): HttpExchange {
    const exchange = new HttpExchange();
    if (!fresh) {
      exchange.start(this.#pool, request);
      return exchange;
    }
    const client = new Client(this.#settings.origin, this.#clientOptions());
    this.#fresh.add(client);
    exchange.start(client, request);
    // Waits for the exchange's own end, then closes the connection.
    void client
      .close()
      .catch(() => {})
      .finally(() => this.#fresh.delete(client));
    return exchange;
  }

  /**
   * Reads a whole answer.
   *
   * @param request what to send
   * @param fresh over a new connection and not one of the pool
   * @param signal gives it up
   * @returns the answer, or how it was lost; never throws
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
   * Like {@link HttpBackendClient.sendBuffered} for requests that may run twice:
   * a loss on a pooled connection is tried once more over a fresh one. A
   * connection that some device in between forgot stays silent for good while
   * new ones work; the server is not to blame before a fresh one fails too.
   *
   * @param request what to send; idempotent
   * @returns the answer, or how the last try was lost
   */
  async sendIdempotent(request: ExchangeRequest): Promise<BufferedOutcome> {
    const first = await this.sendBuffered(request, false);
    return first.kind === 'lost' ? this.sendBuffered(request, true) : first;
  }

  /** Ends all connections; what is in flight is lost. */
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
