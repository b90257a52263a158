/**
 * What the system asks of a model engine, whatever its protocol.
 */
import {type Failure, type Result, type Unregister} from '@lovagepond/core';

/** One request handed to an engine. */
export interface EngineRequest {
  /** The engine tells this id in each event of the answer. */
  readonly requestId: string;
  readonly workspace: string;
  readonly chat: string;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** The answer is wanted as server-sent events. */
  readonly stream: boolean;
  /**
   * Bytes of the answer that were already delivered. Above 0 the engine must
   * continue the same generation; it refuses when it no longer holds it.
   */
  readonly resumeFrom: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** Token counts as the engine reported them. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly answerTokens: number;
}

/**
 * What a run yields, in this order: dispatched, started, data…, then exactly
 * one of end and failed. A failure may stand at any place. A failure without
 * `dispatched` before it means that the request was not run.
 */
export type EngineEvent =
  /** The first byte is about to leave: from here it may have run. */
  | {readonly kind: 'dispatched'}
  /** The engine took it into its batch; how much of the prompt was warm. */
  | {
      readonly kind: 'started';
      readonly status: number;
      readonly contentType: string;
      readonly cachedTokens: number;
    }
  /** `offset` is the position of the first byte in the whole answer. */
  | {
      readonly kind: 'data';
      readonly offset: number;
      readonly bytes: Uint8Array;
    }
  /** The answer is whole; `totalBytes` counts from its very beginning. */
  | {
      readonly kind: 'end';
      readonly totalBytes: number;
      readonly usage: EngineUsage;
    }
  /** The disposition follows from the failure's kind. */
  | {readonly kind: 'failed'; readonly failure: Failure};

/** Names one chat's context in an engine's cache. */
export interface CacheKey {
  readonly workspace: string;
  readonly chat: string;
}

/** A chat's KV cache on its way to another engine. */
export interface ExportedCache {
  readonly tokens: number;
  readonly bytes: Uint8Array;
}

/**
 * A change of the engine's cache. Events come late; `sequence` rises by one
 * within an incarnation. After `gap` nothing is known of chats not named since.
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

/** The engine's own view of its load, some time ago. */
export interface LoadReport {
  /** Changes when the engine restarts: its cache and streams are gone. */
  readonly incarnation: string;
  /** Prompt and answer tokens of what is in the batch. */
  readonly runningTokens: number;
  readonly waitingTokens: number;
  readonly runningRequests: number;
  readonly capacityTokens: number;
  readonly cachedTokens: number;
  /** Monotonic milliseconds on this process's clock at which it was true. */
  readonly measuredAt: number;
  readonly models: readonly string[];
}

/** Orders an engine takes. */
export const ORDER_ACTION = {
  LOAD_MODEL: 'loadModel',
  UNLOAD_MODEL: 'unloadModel',
  CHANGE_ROLE: 'changeRole',
} as const;

/** One of the values of {@link ORDER_ACTION}. */
export type OrderAction = (typeof ORDER_ACTION)[keyof typeof ORDER_ACTION];

/** An order. An engine that checks refuses a token below one it has seen. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fencingToken: number;
  readonly action: OrderAction;
  readonly arguments: Readonly<Record<string, string>>;
}

/** What became of an order. */
export interface EngineOrderOutcome {
  readonly outcome: 'done' | 'failed' | 'fenced';
  readonly message: string;
}

/** A model engine. Every call ends by itself: none waits forever. */
export interface ModelEngine {
  /**
   * Runs one request. Ending the iteration early cancels it.
   *
   * @param request what to run
   * @param now present time, monotonic milliseconds
   * @returns the events; never throws
   */
  run(request: EngineRequest, now: number): AsyncIterable<EngineEvent>;
  /**
   * Cancels a run: its iteration ends with a failure, later answers are
   * dropped, and the engine is told.
   *
   * @param requestId the run's request id
   */
  cancel(requestId: string): void;
  exportCache(key: CacheKey): Promise<Result<ExportedCache>>;
  importCache(key: CacheKey, cache: ExportedCache): Promise<Result<boolean>>;
  /**
   * @param listener called with each event until the registration is taken
   *     back; survives lost connections and the engine's restart
   * @returns takes the registration back
   */
  subscribeCache(listener: (event: CacheEvent) => void): Unregister;
  /** @param now present time, monotonic milliseconds */
  loadReport(now: number): Promise<Result<LoadReport>>;
  order(order: EngineOrder): Promise<Result<EngineOrderOutcome>>;
  /** Ends all runs and connections. */
  close(): Promise<void>;
}
