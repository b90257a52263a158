/**
 * A request as the gateway's admission control sees it.
 */
import {type AdmissionRefusal, type AdmissionRequest} from '@lovagepond/load';
import {type RequestDemand} from './gateway_request_demand.js';
import {type ServerState} from './gateway_server_state.js';

/** A request in a pool with admission control, and how it learns decisions. */
export interface OverloadRequest extends AdmissionRequest {
  /** Its work at each server. */
  readonly demand: RequestDemand;
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
