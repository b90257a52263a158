/**
 * Interface of model engines, independent of the protocol.
 */
import {type Failure, type Result, type Unregister} from '@lovagepond/core';
import {type ServerNoticeListener} from './backend_server_notices.js';

export interface EngineRequest {
  /** The engine repeats this id in each event of the answer. */
  readonly requestId: string;
  readonly workspace: string;
  readonly chat: string;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Whether the answer is streamed as server-sent events. */
  readonly stream: boolean;
  /**
   * Bytes of the answer that were already delivered. Above 0 the engine must
   * resume the same generation, or reject the request.
   */
  readonly resumeFrom: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** Token counts reported by the engine. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly answerTokens: number;
}

/**
 * Events of a run, in this order: dispatched, started, data…, then exactly one
 * of end and failed. `failed` may come at any point. Without a preceding
 * `dispatched` it means that the request was not run.
 */
export type EngineEvent =
  /** The first byte is about to be sent; from now on the request may run. */
  | {readonly kind: 'dispatched'}
  /** The engine added the request to its batch. */
  | {
      readonly kind: 'started';
      readonly status: number;
      readonly contentType: string;
      readonly cachedTokens: number;
    }
  /** `offset` is the position of the first byte in the complete answer. */
  | {
      readonly kind: 'data';
      readonly offset: number;
      readonly bytes: Uint8Array;
    }
  /** The answer is complete; `totalBytes` includes resumed parts. */
  | {
      readonly kind: 'end';
      readonly totalBytes: number;
      readonly usage: EngineUsage;
    }
  /** The failure's kind determines its disposition. */
  | {readonly kind: 'failed'; readonly failure: Failure};

/** Identifies one chat's context in an engine's prefix cache. */
export interface CacheKey {
  readonly workspace: string;
  readonly chat: string;
}

/** A chat's KV cache, exported for another engine. */
export interface ExportedCache {
  readonly tokens: number;
  readonly bytes: Uint8Array;
}

/**
 * A change of the engine's prefix cache. Events arrive with a delay; `sequence`
 * increases by one per event within an incarnation. After a `gap` the state of
 * a chat is unknown until a later event names it.
 */
export type CacheEvent =
  | {
      readonly kind: 'stored';
      readonly sequence: number;
      readonly key: CacheKey;
      readonly tokens: number;
    }
  | {
      readonly kind: 'evicted';
      readonly sequence: number;
      readonly key: CacheKey;
    }
  | {readonly kind: 'gap'; readonly sequence: number};

/** The load that the engine reported, as of `measuredAt`. */
export interface LoadReport {
  /** Changes when the engine restarts and loses its cache and streams. */
  readonly incarnation: string;
  /** Prompt and answer tokens of the requests in the batch. */
  readonly runningTokens: number;
  readonly waitingTokens: number;
  readonly runningRequests: number;
  readonly capacityTokens: number;
  readonly cachedTokens: number;
  /** Time of the measurement, monotonic milliseconds of this process. */
  readonly measuredAt: number;
  readonly models: readonly string[];
}

/** Actions that an engine can be ordered to take. */
export const ORDER_ACTION = {
  LOAD_MODEL: 'loadModel',
  UNLOAD_MODEL: 'unloadModel',
  CHANGE_ROLE: 'changeRole',
} as const;

export type OrderAction = (typeof ORDER_ACTION)[keyof typeof ORDER_ACTION];

/** An order. Engines with fencing reject a token below one already seen. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly action: OrderAction;
  readonly arguments: Readonly<Record<string, string>>;
}

export interface EngineOrderOutcome {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** A model engine. Every call has a timeout. */
export interface ModelEngine {
  /**
   * Runs one request. Ending the iteration early cancels it.
   *
   * @param request the request to run
   * @param now current time, monotonic milliseconds
   * @returns the events; never throws
   */
  run(request: EngineRequest, now: number): AsyncIterable<EngineEvent>;
  /**
   * Cancels a run: its iteration ends with a failure, later answers are
   * dropped, and a cancellation is sent to the engine.
   *
   * @param requestId the run's request id
   */
  cancel(requestId: string): void;
  exportCache(key: CacheKey): Promise<Result<ExportedCache>>;
  importCache(key: CacheKey, cache: ExportedCache): Promise<Result<boolean>>;
  /**
   * The subscription survives lost connections and restarts of the engine.
   *
   * @param listener called with each event until the subscription is ended
   * @returns a function that ends the subscription
   */
  subscribeCache(listener: (event: CacheEvent) => void): Unregister;
  /** @param now current time, monotonic milliseconds */
  loadReport(now: number): Promise<Result<LoadReport>>;
  order(order: EngineOrder): Promise<Result<EngineOrderOutcome>>;
  /**
   * @param listener called when a response says that the engine wants a pause
   *     or is about to exit
   * @returns a function that removes the listener
   */
  onNotice(listener: ServerNoticeListener): Unregister;
  /** Aborts all runs and closes all connections. */
  close(): Promise<void>;
}
