/**
 * A request as the gateway's admission control sees it.
 */
import {type AdmissionRefusal, type AdmissionRequest} from '@lovagepond/load';
import {type PromptPart} from './gateway_headers.js';
import {type ServerState} from './gateway_server_state.js';

/** The work of a request, on which its predicted times depend. */
export interface RequestDemand {
  /** The prompt's parts; empty for requests that are not placed by them. */
  readonly parts: readonly PromptPart[];
  /** The response is a stream of an engine. */
  readonly isStream: boolean;
  /** Context memory of each engine of the pool, tokens, if known. */
  readonly contextTokens: number | undefined;
  /** Context tokens fetched per millisecond; undefined if unsupported. */
  readonly fetchTokensPerMs: number | undefined;
  /** Servers that may hold the prompt in cache, draining ones included. */
  holders(): readonly ServerState[];
}

/** A request in a pool with admission control, and how it learns decisions. */
export interface OverloadRequest extends AdmissionRequest, RequestDemand {
  /** Id that the caller gave, for log lines. */
  readonly requestId: string;
  /** When admission control was asked, monotonic milliseconds. */
  readonly submittedAt: number;
  /**
   * @param now current time, monotonic milliseconds
   * @returns the servers that it may be sent to; servers that failed lately only
   *     if there is no other one
   */
  servers(now: number): readonly ServerState[];
  /**
   * @param now current time, monotonic milliseconds
   * @returns false if no server of its pool is left for it
   */
  hasServer(now: number): boolean;
  /**
   * Called once, when the request leaves the queue to be sent.
   *
   * @param now current time, monotonic milliseconds
   */
  start(now: number): void;
  /**
   * Called once, when the request is refused; it has not run.
   *
   * @param refusal the reason and the time of a retry
   */
  refuse(refusal: AdmissionRefusal): void;
  /** Called once, when no server of its pool is left; it has not run. */
  refuseWithoutServer(): void;
  /** Called once, when the gateway drains or stops; it has not run. */
  refuseWhileDraining(): void;
}
