/**
 * Subscription to an engine's cache events over HTTP. It reconnects after lost
 * connections and restarts of the engine.
 */
import {type Random, type Unregister} from '@lovagepond/core';
import {CacheSequence} from './backend_cache_sequence.js';
import {cacheEventSchema, ENGINE_PATH} from './backend_engine_protocol.js';
import {EventParser, type ServerSentEvent} from './backend_event_parser.js';
import {type HttpBackendClient} from './backend_http_client.js';
import {type HttpExchange} from './backend_http_exchange.js';
import {type CacheEvent} from './backend_model_engine.js';

const MAX_EVENT_BYTES = 16 * 1024;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;
const HTTP_OK = 200;

export class CacheSubscription {
  readonly #client: HttpBackendClient;
  readonly #random: Random;
  readonly #listener: (event: CacheEvent) => void;
  readonly #sequence = new CacheSequence();
  /** Mean delay before the next reconnect. */
  #retryMs = FIRST_RETRY_MS;
  #timer: NodeJS.Timeout | undefined;
  #exchange: HttpExchange | undefined;
  #ended = false;

  /**
   * @param client HTTP client for the engine
   * @param random adds jitter to the reconnect delay
   * @param listener called with each event
   */
  constructor(
    client: HttpBackendClient,
    random: Random,
    listener: (event: CacheEvent) => void,
  ) {
    this.#client = client;
    this.#random = random;
    this.#listener = listener;
  }

  /** @returns a function that ends the subscription */
  start(): Unregister {
    void this.#connect();
    return () => {
      this.#ended = true;
      clearTimeout(this.#timer);
      this.#exchange?.abort();
    };
  }

  /** @param incarnation the engine's incarnation, as any response states it */
  updateIncarnation(incarnation: string): void {
    this.#notify(this.#sequence.updateIncarnation(incarnation));
  }

  async #connect(): Promise<void> {
    if (this.#ended) return;
    const {incarnation, last} = this.#sequence;
    const query = new URLSearchParams({incarnation, after: String(last)});
    const exchange = this.#client.send(
      {
        method: 'GET',
        path: `${ENGINE_PATH.CACHE_EVENTS}?${query.toString()}`,
        headers: {accept: 'text/event-stream'},
        silenceMs: this.#client.settings.silenceMs,
      },
      true,
    );
    this.#exchange = exchange;
    await this.#read(exchange);
    this.#scheduleReconnect();
  }

  async #read(exchange: HttpExchange): Promise<void> {
    const parser = new EventParser(MAX_EVENT_BYTES);
    let accepted = false;
    for await (const event of exchange.events()) {
      if (event.kind === 'head') accepted = event.status === HTTP_OK;
      if (event.kind !== 'chunk' || !accepted || this.#ended) continue;
      this.#retryMs = FIRST_RETRY_MS;
      const events = parser.push(event.bytes);
      // The event exceeds the limit: leaving the loop aborts the exchange.
      if (!events) return;
      for (const item of events) this.#handleEvent(item);
    }
  }

  #handleEvent(item: ServerSentEvent): void {
    if (item.data === '') return;
    const parsed = parseEvent(item.data);
    if (parsed) this.#notify(this.#sequence.take(parsed));
  }

  #notify(events: readonly CacheEvent[]): void {
    if (this.#ended) return;
    for (const event of events) this.#listener(event);
  }

  #scheduleReconnect(): void {
    if (this.#ended) return;
    const delay = this.#retryMs * (0.5 + this.#random.next());
    this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
    this.#timer = setTimeout(() => void this.#connect(), delay);
  }
}

function parseEvent(
  data: string,
): ReturnType<typeof cacheEventSchema.parse> | undefined {
  try {
    return cacheEventSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
